/**
 * Follows what one store holds through its numbered events.
 *
 * Events come late and some never come: a gap, or any long time, is mended from
 * the store's whole list. A part that is believed to be there and is not costs a
 * moment; one that is there and not believed costs a reading. Neither is wrong.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Result } from '@eelgrassmux/schema/Result'
import { isLaterStart } from '@eelgrassmux/schema/site/isLaterStart'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import type { StoreChange, StoredPart } from '@eelgrassmux/schema/site/storedParts'
import type { RejectedEntries, RejectedEntry } from '@eelgrassmux/telemetry/RejectedEntries'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Events since a number. */
export interface StoreEvents {
  /** Start of the store's process, in Unix milliseconds on its own clock; undefined if it does not state it. */
  readonly startedAtMs: number | undefined
  /** Changes when the store restarts; it is then empty. */
  readonly epoch: number
  readonly next: number
  /** Whether events in between are gone. */
  readonly hasGap: boolean
  readonly events: ReadonlyArray<{ readonly kind: 'stored' | 'removed', readonly part: StoredPart }>
  readonly clockMs: number | undefined
  /** Events that can't be used. */
  readonly rejected: readonly RejectedEntry[]
}

/** All that a store holds. */
export interface StoreListing {
  /** Start of the store's process, as in {@link StoreEvents}. */
  readonly startedAtMs: number | undefined
  readonly epoch: number
  readonly next: number
  readonly parts: readonly StoredPart[]
  /** Parts that are not whole, with the tokens that have arrived. */
  readonly partial: ReadonlyArray<{ readonly part: StoredPart, readonly tokens: number }>
  /** Entries that can't be used. */
  readonly rejected: readonly RejectedEntry[]
}

/** Stores as control hosts see them. */
export interface StoreSource {
  events (store: StoreService, since: number, waitMs: number): Promise<Result<StoreEvents, { readonly kind: string }>>
  listing (store: StoreService): Promise<Result<StoreListing, { readonly kind: string }>>
  /**
   * Frees parts, unless the store has restarted or the time has passed.
   *
   * @param untilMs - on the stores' clock
   */
  free (store: StoreService, parts: readonly StoredPart[], epoch: number, untilMs: number): Promise<Result<true, { readonly kind: string }>>
}

/** How long a call for events waits for one, in milliseconds; the platform prices shorter ones. */
const EVENT_WAIT_MS = 1000

/** Pause after a call that failed, in milliseconds. */
const RETRY_DELAY_MS = 250

/** Interval between whole lists, in milliseconds: one event in a hundred never comes. */
const LISTING_INTERVAL_MS = 10_000

/** Follows one store until stopped. */
export class StoreFollower {
  #parts = new Map<string, StoredPart>()
  #partial: StoreListing['partial'] = []
  #startedAtMs: number | undefined
  #epoch: number | undefined
  #next = 0
  #listedAt = Number.NEGATIVE_INFINITY
  #isAvailable = false
  #isStopped = false

  /**
   * @param store - which store
   * @param source - asks it
   * @param onChange - told of each change
   * @param onClock - told of the stores' clock whenever a store states it
   * @param rejected - told of entries that can't be used
   * @param telemetry - log
   */
  constructor (
    readonly store: StoreService,
    private readonly source: StoreSource,
    private readonly onChange: (change: StoreChange) => void,
    private readonly onClock: (clockMs: number) => void,
    private readonly rejected: RejectedEntries,
    private readonly telemetry: Telemetry
  ) {}

  /** Whether the store answers, so that its parts may be used. */
  get isAvailable (): boolean { return this.#isAvailable }
  get epoch (): number | undefined { return this.#epoch }
  get parts (): readonly StoredPart[] { return [...this.#parts.values()] }
  /** Incomplete parts as last listed. */
  get partial (): StoreListing['partial'] { return this.#partial }

  /** Runs until {@link StoreFollower.stop}. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      const isListingDue = performance.now() - this.#listedAt > LISTING_INTERVAL_MS
      const hasSucceeded = isListingDue ? await this.#refreshListing() : await this.#pollEvents()
      if (!hasSucceeded) await sleep(RETRY_DELAY_MS)
    }
  }

  /** Ends the following. */
  stop (): void {
    this.#isStopped = true
  }

  /** @param parts - parts that were freed, before their events come */
  removeFreed (parts: readonly StoredPart[]): void {
    for (const part of parts) this.#parts.delete(partKey(part))
    this.#emit({ kind: 'delta', added: [], removed: [...parts] })
  }

  async #pollEvents (): Promise<boolean> {
    const answer = await this.source.events(this.store, this.#next, EVENT_WAIT_MS)
    if (!answer.ok) return this.#markLost(answer.error.kind)
    const { startedAtMs, epoch, next, hasGap, events, clockMs, rejected } = answer.value
    this.rejected.note(this.store.name, rejected, performance.now())
    if (this.#isFromEarlierStart(startedAtMs)) return false
    if (clockMs !== undefined) this.onClock(clockMs)
    if (epoch !== this.#epoch || hasGap || isLaterStart(startedAtMs, this.#startedAtMs)) {
      this.#listedAt = Number.NEGATIVE_INFINITY
      return true
    }
    this.#next = next
    if (events.length > 0) this.#applyEvents(events)
    return true
  }

  #applyEvents (events: StoreEvents['events']): void {
    const added = new Map<string, StoredPart>()
    const removed = new Map<string, StoredPart>()
    for (const { kind, part } of events) {
      const key = partKey(part)
      const [target, opposite] = kind === 'stored' ? [added, removed] : [removed, added]
      target.set(key, part)
      opposite.delete(key)
      if (kind === 'stored') this.#parts.set(key, part)
      else this.#parts.delete(key)
    }
    this.#emit({ kind: 'delta', added: [...added.values()], removed: [...removed.values()] })
  }

  async #refreshListing (): Promise<boolean> {
    const answer = await this.source.listing(this.store)
    if (!answer.ok) return this.#markLost(answer.error.kind)
    const { startedAtMs, epoch, next, parts, partial, rejected } = answer.value
    this.rejected.note(this.store.name, rejected, performance.now())
    if (this.#isFromEarlierStart(startedAtMs)) return false
    const isNew = !this.#isAvailable || epoch !== this.#epoch || isLaterStart(startedAtMs, this.#startedAtMs)
    if (isNew) {
      this.telemetry.stateChanged('store-followed', { store: this.store.name, epoch, parts: parts.length, partial: partial.length })
    }
    this.#startedAtMs = startedAtMs ?? this.#startedAtMs
    this.#epoch = epoch
    this.#next = next
    this.#partial = partial
    this.#isAvailable = true
    this.#listedAt = performance.now()
    const listed = new Map(parts.map(part => [partKey(part), part]))
    if (isNew) this.#emit({ kind: 'whole', added: [...parts], removed: [] })
    else this.#emitDifference(listed)
    this.#parts = listed
    return true
  }

  /** An answer of the process before the last restart says nothing of what the store holds now. */
  #isFromEarlierStart (startedAtMs: number | undefined): boolean {
    return startedAtMs !== undefined && isLaterStart(this.#startedAtMs, startedAtMs)
  }

  #emitDifference (listed: ReadonlyMap<string, StoredPart>): void {
    const added = [...listed].filter(([key]) => !this.#parts.has(key)).map(([, part]) => part)
    const removed = [...this.#parts].filter(([key]) => !listed.has(key)).map(([, part]) => part)
    if (added.length + removed.length > 0) this.#emit({ kind: 'delta', added, removed })
  }

  #markLost (reason: string): false {
    this.#listedAt = Number.NEGATIVE_INFINITY
    if (!this.#isAvailable) return false
    this.#isAvailable = false
    this.#parts.clear()
    this.telemetry.stateChanged('store-lost', { store: this.store.name, reason })
    this.#emit({ kind: 'lost', added: [], removed: [] })
    return false
  }

  #emit (change: Omit<StoreChange, 'store'>): void {
    this.onChange({ store: this.store.name, ...change })
  }
}

function partKey ([scope, id]: StoredPart): string {
  return `${scope}/${id}`
}
