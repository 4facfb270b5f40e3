/** Search for the origin of one stream, by what this host has seen and by the answers of the control hosts. */
import { originKey, type OriginAnswer, type StreamOrigin } from './streamOrigin.js'

/** Interval between rounds of questions, in milliseconds: the record may arrive after the question, and either may be lost. */
const ROUND_INTERVAL_MS = 50

/** Duration of a search, in milliseconds. */
export const MAX_SEARCH_MS = 250

/** What this host knows when the search begins. */
export interface OwnView {
  /** What may have begun streams of the route, as far as this host has seen. */
  readonly possible: readonly StreamOrigin[]
  /** Whether this host's list is so recent that it shows every version on which a stream can have begun. */
  readonly isRecent: boolean
  /** Milliseconds for which this host has followed what may begin streams. */
  readonly observedMs: number
}

/** What to do next. */
export type SearchStep =
  | { readonly kind: 'ask', readonly until: number }
  | { readonly kind: 'wait', readonly until: number }
  /** `isSole`: nobody remembers the stream, but it can have begun nowhere else. */
  | { readonly kind: 'found', readonly origin: StreamOrigin, readonly isSole: boolean }
  | { readonly kind: 'unknown' }

/**
 * Asks all control hosts in rounds. Hosts may differ in the control hosts that they know, so all of them are asked and not
 * only those that would keep the record now.
 */
export class OriginSearch {
  #recorded: StreamOrigin | undefined
  readonly #possible: Map<string, StreamOrigin>
  readonly #answered = new Set<string>()
  #hasRecentList: boolean
  #observedMs: number
  #askedAt = Number.NEGATIVE_INFINITY

  /**
   * @param own - what this host knows
   * @param maxAgeMs - how long ago the stream may have begun, in milliseconds
   * @param controlHosts - number of control hosts
   * @param startedAt - start of the search, in monotonic milliseconds
   */
  constructor (own: OwnView, private readonly maxAgeMs: number, private readonly controlHosts: number, private readonly startedAt: number) {
    this.#hasRecentList = own.isRecent
    this.#observedMs = own.observedMs
    this.#possible = new Map(own.possible.map(origin => [originKey(origin), origin]))
  }

  /**
   * @param controlHost - control host that has answered
   * @param answer - its answer
   */
  observeAnswer (controlHost: string, { origin, possible, isRecent, observedMs }: OriginAnswer): void {
    this.#recorded ??= origin
    this.#hasRecentList ||= isRecent
    this.#observedMs = Math.max(this.#observedMs, observedMs)
    this.#answered.add(controlHost)
    for (const each of possible) this.#possible.set(originKey(each), each)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the next step; after `ask`, the questions count as sent
   */
  next (now: number): SearchStep {
    if (this.#recorded !== undefined) return { kind: 'found', origin: this.#recorded, isSole: false }
    const hasMajority = this.#answered.size > this.controlHosts / 2
    const [sole, ...others] = this.#possible.values()
    // What left the list before anybody asked followed it is not known to them.
    const isSole = sole !== undefined && others.length === 0 && this.#observedMs >= this.maxAgeMs
    if (isSole && hasMajority && this.#hasRecentList) return { kind: 'found', origin: sole, isSole }
    const endsAt = this.startedAt + MAX_SEARCH_MS
    // If nobody can read the list, no host has found out about another version either. A host that reaches no majority does not
    // know what others have found out, however recent its own list is.
    if (now >= endsAt) return isSole && hasMajority ? { kind: 'found', origin: sole, isSole } : { kind: 'unknown' }
    const nextRoundAt = this.#askedAt + ROUND_INTERVAL_MS
    if (now < nextRoundAt) return { kind: 'wait', until: Math.min(endsAt, nextRoundAt) }
    this.#askedAt = now
    return { kind: 'ask', until: Math.min(endsAt, now + ROUND_INTERVAL_MS) }
  }
}
