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
const WAIT_MS = 1000

/** Pause after a call that failed, in milliseconds. */
const RETRY_MS = 250

/** Interval between whole lists, in milliseconds: one event in a hundred never comes. */
const LISTING_MS = 10_000

/** Follows one store until stopped. */
export class StoreFollower {
  #parts = new Map<string, StoredPart>()
  #partial: StoreListing['partial'] = []
  #startedAtMs: number | undefined
  #epoch: number | undefined
  #next = 0
  #listedAt = Number.NEGATIVE_INFINITY
  #isAnswering = false
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
  get isAnswering (): boolean { return this.#isAnswering }
  get epoch (): number | undefined { return this.#epoch }
  get parts (): readonly StoredPart[] { return [...this.#parts.values()] }
  /** Incomplete parts as last listed. */
  get partial (): StoreListing['partial'] { return this.#partial }

  /** Runs until {@link StoreFollower.stop}. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      const isListingDue = performance.now() - this.#listedAt > LISTING_MS
      const isFine = isListingDue ? await this.#list() : await this.#follow()
      if (!isFine) await sleep(RETRY_MS)
    }
  }

  /** Ends the following. */
  stop (): void {
    this.#isStopped = true
  }

  /** @param parts - parts that were freed, before their events come */
  forget (parts: readonly StoredPart[]): void {
    for (const part of parts) this.#parts.delete(keyOf(part))
    this.#emit({ kind: 'delta', added: [], removed: [...parts] })
  }

  async #follow (): Promise<boolean> {
    const answer = await this.source.events(this.store, this.#next, WAIT_MS)
    if (!answer.ok) return this.#lose(answer.error.kind)
    const { startedAtMs, epoch, next, hasGap, events, clockMs, rejected } = answer.value
    this.rejected.record(this.store.name, rejected, performance.now())
    if (this.#isFormer(startedAtMs)) return false
    if (clockMs !== undefined) this.onClock(clockMs)
    if (epoch !== this.#epoch || hasGap || isLaterStart(startedAtMs, this.#startedAtMs)) {
      this.#listedAt = Number.NEGATIVE_INFINITY
      return true
    }
    this.#next = next
    if (events.length > 0) this.#take(events)
    return true
  }

  #take (events: StoreEvents['events']): void {
    const added = new Map<string, StoredPart>()
    const removed = new Map<string, StoredPart>()
    for (const { kind, part } of events) {
      const key = keyOf(part)
      const [into, outOf] = kind === 'stored' ? [added, removed] : [removed, added]
      into.set(key, part)
      outOf.delete(key)
      if (kind === 'stored') this.#parts.set(key, part)
      else this.#parts.delete(key)
    }
    this.#emit({ kind: 'delta', added: [...added.values()], removed: [...removed.values()] })
  }

  async #list (): Promise<boolean> {
    const answer = await this.source.listing(this.store)
    if (!answer.ok) return this.#lose(answer.error.kind)
    const { startedAtMs, epoch, next, parts, partial, rejected } = answer.value
    this.rejected.record(this.store.name, rejected, performance.now())
    if (this.#isFormer(startedAtMs)) return false
    const isNew = !this.#isAnswering || epoch !== this.#epoch || isLaterStart(startedAtMs, this.#startedAtMs)
    if (isNew) {
      this.telemetry.logStateChange('store-followed', { store: this.store.name, epoch, parts: parts.length, partial: partial.length })
    }
    this.#startedAtMs = startedAtMs ?? this.#startedAtMs
    this.#epoch = epoch
    this.#next = next
    this.#partial = partial
    this.#isAnswering = true
    this.#listedAt = performance.now()
    const listed = new Map(parts.map(part => [keyOf(part), part]))
    if (isNew) this.#emit({ kind: 'whole', added: [...parts], removed: [] })
    else this.#emitDifference(listed)
    this.#parts = listed
    return true
  }

  /** An answer of the process before the last restart says nothing of what the store holds now. */
  #isFormer (startedAtMs: number | undefined): boolean {
    return startedAtMs !== undefined && isLaterStart(this.#startedAtMs, startedAtMs)
  }

  #emitDifference (listed: ReadonlyMap<string, StoredPart>): void {
    const added = [...listed].filter(([key]) => !this.#parts.has(key)).map(([, part]) => part)
    const removed = [...this.#parts].filter(([key]) => !listed.has(key)).map(([, part]) => part)
    if (added.length + removed.length > 0) this.#emit({ kind: 'delta', added, removed })
  }

  #lose (reason: string): false {
    this.#listedAt = Number.NEGATIVE_INFINITY
    if (!this.#isAnswering) return false
    this.#isAnswering = false
    this.#parts.clear()
    this.telemetry.logStateChange('store-lost', { store: this.store.name, reason })
    this.#emit({ kind: 'lost', added: [], removed: [] })
    return false
  }

  #emit (change: Omit<StoreChange, 'store'>): void {
    this.onChange({ store: this.store.name, ...change })
  }
}

function keyOf ([scope, id]: StoredPart): string {
  return `${scope}/${id}`
}
