/** What is known of listed endpoints from all readings of the list and from the endpoints themselves. */
import { isLaterStart } from '@eelgrassmux/schema/site/isLaterStart'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { RejectedEntry } from '@eelgrassmux/telemetry/RejectedEntries'

/** What one reading of the list brought. */
export interface EndpointListing {
  readonly endpoints: readonly ListedEndpoint[]
  /** Entries that name no endpoint to use. */
  readonly rejected: readonly RejectedEntry[]
  /** Why the list could not be read to its end; endpoints that are not named may be there all the same. */
  readonly incompleteBecause: string | undefined
}

/** An endpoint that has started again. */
export interface EndpointRestart {
  readonly id: string
  readonly startedAtMs: number
}

/** Starts remembered of endpoints; beyond this the ones that were heard of first are forgotten. */
const REMEMBERED_STARTS = 5000

/** Stands for weights of an engine that has started again and was not asked yet: lower than any that is named. */
const UNKNOWN_VERSION = 0

/**
 * Keeps, for each id, the entry of the latest start. The list lags, so an entry of an
 * earlier start tells only where the endpoint is.
 */
export class EndpointRegistry {
  #listed = new Map<string, ListedEndpoint>()
  readonly #starts = new Map<string, number>()

  /** Listed endpoints, each under its latest start. */
  get endpoints (): ListedEndpoint[] {
    return [...this.#listed.values()].map(entry => underLatestStart(entry, this.#starts.get(entry.id)))
  }

  /**
   * @param reading - of the list
   * @returns endpoints that have started again since the last reading
   */
  take (reading: EndpointListing): EndpointRestart[] {
    const restarts = reading.endpoints.flatMap(({ id, startedAtMs }) => this.observeStart(id, startedAtMs) ?? [])
    const before = this.#listed
    this.#listed = reading.incompleteBecause === undefined ? new Map() : new Map(before)
    for (const entry of reading.endpoints) {
      const present = this.#listed.get(entry.id) ?? before.get(entry.id)
      const isFormer = entry.startedAtMs !== undefined && isLaterStart(present?.startedAtMs, entry.startedAtMs)
      this.#listed.set(entry.id, isFormer && present !== undefined ? present : entry)
    }
    return restarts
  }

  /**
   * @param id - endpoint
   * @param startedAtMs - start that it or an entry of the list states, in Unix milliseconds
   * @returns the restart, if the endpoint was known under an earlier start
   */
  observeStart (id: string, startedAtMs: number | undefined): EndpointRestart | undefined {
    const known = this.#starts.get(id)
    if (startedAtMs === undefined || !isLaterStart(startedAtMs, known)) return undefined
    this.#starts.delete(id)
    this.#starts.set(id, startedAtMs)
    this.#forgetOldest()
    return known === undefined ? undefined : { id, startedAtMs }
  }

  #forgetOldest (): void {
    if (this.#starts.size <= REMEMBERED_STARTS) return
    const oldest = [...this.#starts.keys()].find(id => !this.#listed.has(id))
    if (oldest !== undefined) this.#starts.delete(oldest)
  }
}

function underLatestStart (entry: ListedEndpoint, startedAtMs: number | undefined): ListedEndpoint {
  if (!isLaterStart(startedAtMs, entry.startedAtMs)) return entry
  if (entry.startedAtMs === undefined) return { ...entry, startedAtMs }
  // What the former start held and that it was leaving ended with it; the new one has just begun.
  const models = entry.models.map(({ model }) => ({ model, version: UNKNOWN_VERSION }))
  return { ...entry, startedAtMs, isLeaving: false, isCold: true, models }
}
