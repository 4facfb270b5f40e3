/** Combines all results of reading the endpoint list with the start times that endpoints report themselves. */
import { isLaterStart } from '@eelgrassmux/schema/site/isLaterStart'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { RejectedEntry } from '@eelgrassmux/telemetry/RejectedEntries'

/** Result of reading the endpoint list once. */
export interface EndpointListing {
  readonly endpoints: readonly ListedEndpoint[]
  /** Entries that do not describe a usable endpoint. */
  readonly rejected: readonly RejectedEntry[]
  /** Reason why the list could not be read completely, or undefined if it was. Endpoints missing from an incomplete list may still exist. */
  readonly incompleteBecause: string | undefined
}

/** A restart of an endpoint under the same id. */
export interface EndpointRestart {
  readonly id: string
  readonly startedAtMs: number
}

/** Maximum number of remembered start times. Beyond this, the oldest one of an endpoint that is no longer listed is dropped. */
const MAX_REMEMBERED_STARTS = 5000

/** Weight version of an engine that has restarted and has not been polled yet. It is lower than any real version. */
const UNKNOWN_VERSION = 0

/**
 * Holds the entry with the latest start time for each endpoint id. The list is delayed,
 * so only the location is taken from an entry with an earlier start time.
 */
export class EndpointRegistry {
  #entries = new Map<string, ListedEndpoint>()
  readonly #starts = new Map<string, number>()

  /** Listed endpoints, each with its latest start time. */
  get endpoints (): ListedEndpoint[] {
    return [...this.#entries.values()].map(entry => withLatestStart(entry, this.#starts.get(entry.id)))
  }

  /**
   * @param listing - result of reading the list
   * @returns endpoints that have restarted since the previous read
   */
  applyListing (listing: EndpointListing): EndpointRestart[] {
    const restarts = listing.endpoints.flatMap(({ id, startedAtMs }) => this.observeStart(id, startedAtMs) ?? [])
    const previous = this.#entries
    this.#entries = listing.incompleteBecause === undefined ? new Map() : new Map(previous)
    for (const entry of listing.endpoints) {
      const present = this.#entries.get(entry.id) ?? previous.get(entry.id)
      const isFromEarlierStart = entry.startedAtMs !== undefined && isLaterStart(present?.startedAtMs, entry.startedAtMs)
      this.#entries.set(entry.id, isFromEarlierStart && present !== undefined ? present : entry)
    }
    return restarts
  }

  /**
   * @param id - id of the endpoint
   * @param startedAtMs - start time from the endpoint itself or from a list entry, in Unix milliseconds
   * @returns the restart, or undefined if no earlier start time was known
   */
  observeStart (id: string, startedAtMs: number | undefined): EndpointRestart | undefined {
    const known = this.#starts.get(id)
    if (startedAtMs === undefined || !isLaterStart(startedAtMs, known)) return undefined
    this.#starts.delete(id)
    this.#starts.set(id, startedAtMs)
    this.#evictOldestStart()
    return known === undefined ? undefined : { id, startedAtMs }
  }

  #evictOldestStart (): void {
    if (this.#starts.size <= MAX_REMEMBERED_STARTS) return
    const oldest = [...this.#starts.keys()].find(id => !this.#entries.has(id))
    if (oldest !== undefined) this.#starts.delete(oldest)
  }
}

function withLatestStart (entry: ListedEndpoint, startedAtMs: number | undefined): ListedEndpoint {
  if (!isLaterStart(startedAtMs, entry.startedAtMs)) return entry
  if (entry.startedAtMs === undefined) return { ...entry, startedAtMs }
  // The held weights, the software and the leaving state belong to the earlier start. The new process is cold.
  const models = entry.models.map(({ model }) => ({ model, version: UNKNOWN_VERSION }))
  const { software, ...location } = entry
  return { ...location, startedAtMs, isLeaving: false, isCold: true, models }
}
