/**
 * Tracks the contents of one store through its numbered events.
 *
 * Events arrive late and some are lost, so the whole listing is read again after
 * a gap and at a fixed interval. If a tracked part no longer exists, the fetch
 * fails and costs a moment; if an existing part is not tracked, the prompt part
 * is computed again. Neither makes an answer incorrect.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { InvariantViolation } from '@eelgrassmux/schema/invariant'
import type { Result } from '@eelgrassmux/schema/Result'
import { isLaterStart } from '@eelgrassmux/schema/site/isLaterStart'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import type { StoreChange, StoredPart } from '@eelgrassmux/schema/site/storedParts'
import type { RejectedEntries, RejectedEntry } from '@eelgrassmux/telemetry/RejectedEntries'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Events since a given sequence number. */
export interface StoreEvents {
  /** Start time of the store process, in Unix milliseconds on its own clock; undefined if the store does not report it. */
  readonly startedAtMs: number | undefined
  /** Changes when the store restarts, which empties it. */
  readonly epoch: number
  readonly next: number
  /** Whether events since the requested number are missing. */
  readonly hasGap: boolean
  readonly events: ReadonlyArray<{ readonly kind: 'stored' | 'removed', readonly part: StoredPart }>
  readonly clockMs: number | undefined
  /** Events that cannot be used. */
  readonly rejected: readonly RejectedEntry[]
}

/** Complete contents of a store. */
export interface StoreListing {
  /** Start time of the store process, as in {@link StoreEvents}. */
  readonly startedAtMs: number | undefined
  readonly epoch: number
  readonly next: number
  readonly parts: readonly StoredPart[]
  /** Incomplete parts with the number of tokens received so far. */
  readonly partial: ReadonlyArray<{ readonly part: StoredPart, readonly tokens: number }>
  /** Entries that cannot be used. */
  readonly rejected: readonly RejectedEntry[]
}

/** Access of control hosts to stores. */
export interface StoreSource {
  events (store: StoreService, since: number, waitMs: number): Promise<Result<StoreEvents, { readonly kind: string }>>
  listing (store: StoreService): Promise<Result<StoreListing, { readonly kind: string }>>
  /**
   * Frees parts unless the store has restarted or the deadline has passed.
   *
   * @param untilMs - deadline on the stores' clock
   */
  free (store: StoreService, parts: readonly StoredPart[], epoch: number, untilMs: number): Promise<Result<true, { readonly kind: string }>>
}

/** Time for which a call for events waits for the next event, in milliseconds. The platform charges for shorter waits. */
const EVENT_WAIT_MS = 1000

/** Delay after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 250

/** Interval between reads of the whole listing, in milliseconds. One event in a hundred is lost. */
const LISTING_INTERVAL_MS = 10_000

/** Tracks one store until stopped. */
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
   * @param store - store to track
   * @param source - access to the store
   * @param onChange - called with each change
   * @param onClock - called with the stores' clock whenever the store reports it
   * @param rejected - records entries that cannot be used
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

  /** Whether the store answered the last call, so that its parts may be used. */
  get isAvailable (): boolean { return this.#isAvailable }
  get epoch (): number | undefined { return this.#epoch }
  get parts (): readonly StoredPart[] { return [...this.#parts.values()] }
  /** Incomplete parts in the last listing. */
  get partial (): StoreListing['partial'] { return this.#partial }

  /** Runs until {@link StoreFollower.stop}. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      const isListingDue = performance.now() - this.#listedAt > LISTING_INTERVAL_MS
      const hasSucceeded = await this.#contain(async () => isListingDue ? await this.#refreshListing() : await this.#pollEvents())
      if (!hasSucceeded) await sleep(RETRY_DELAY_MS)
    }
  }

  /** A store whose answer can't be used counts as lost; others are followed on. */
  async #contain (read: () => Promise<boolean>): Promise<boolean> {
    try {
      return await read()
    } catch (error) {
      if (error instanceof InvariantViolation) throw error
      this.rejected.recordFault(this.store.name, error, performance.now())
      return this.#markLost('fault')
    }
  }

  /** Stops the loop. */
  stop (): void {
    this.#isStopped = true
  }

  /** @param parts - parts that are being freed, removed here before their events arrive */
  removeFreed (parts: readonly StoredPart[]): void {
    for (const part of parts) this.#parts.delete(partKey(part))
    this.#emit({ kind: 'delta', added: [], removed: [...parts] })
  }

  async #pollEvents (): Promise<boolean> {
    const answer = await this.source.events(this.store, this.#next, EVENT_WAIT_MS)
    if (!answer.ok) return this.#markLost(answer.error.kind)
    const { startedAtMs, epoch, next, hasGap, events, clockMs, rejected } = answer.value
    this.rejected.record(this.store.name, rejected, performance.now())
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
    this.rejected.record(this.store.name, rejected, performance.now())
    if (this.#isFromEarlierStart(startedAtMs)) return false
    const isNew = !this.#isAvailable || epoch !== this.#epoch || isLaterStart(startedAtMs, this.#startedAtMs)
    if (isNew) {
      this.telemetry.logStateChange('store-followed', { store: this.store.name, epoch, parts: parts.length, partial: partial.length })
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

  /** Detects an answer from before the last restart, which says nothing about the current contents. */
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
    this.telemetry.logStateChange('store-lost', { store: this.store.name, reason })
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
