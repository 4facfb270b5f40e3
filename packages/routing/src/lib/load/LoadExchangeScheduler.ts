/**
 * When a host asks for the work of all others, and when it tells its own.
 *
 * Answers the load of many hosts before few engines. A host that exchanges by the clock, five
 * times a second, places a request on what was so 0.1 to 0.25 s before; with 195 hosts before 55
 * engines two or three further requests have by then arrived at the engine that looked least
 * busy. A question and its answer take a millisecond or two between data centres, so a host asks
 * when it has a request to place, and tells the others at once where it went. That is as many
 * questions as by the clock (1,030 requests a second against 975), a view that is some
 * milliseconds old, and none at all from a host at rest.
 *
 * A host with ten requests a second asks again before long, and each question tells its work as
 * well: statements of their own would double what the host that adds up has to read, for a view that
 * is a tenth of a second newer. So such a host tells its sends with its next question; one with
 * rare requests tells them at once.
 */

/** Age up to which a view is used without asking, in milliseconds: the host that adds up gives out the same totals for as long. */
const FRESH_MS = 25

/**
 * Longest wait for an answer, in milliseconds: three round trips between data centres of the users'
 * sheets, and little against the shortest objective there (120 ms).
 */
export const MAX_ANSWER_WAIT_MS = 10

/** Waits in vain after which requests wait no more until an answer comes: the host that adds up is gone, and another takes over. */
const MOST_VAIN_WAITS = 2

/** Questions that all hosts together ask in a second at most: some 0.2 cores of the host that adds up. */
const QUESTIONS_PER_SECOND = 2000

/** Questions that a host may ask at once, as its requests come in clusters. */
const MOST_SAVED_QUESTIONS = 5

/** Pause before the others are told of what the next question may tell as well, in milliseconds. */
const TELL_CHANGE_MS = 250

/** Interval at which a host with work tells it again, in milliseconds: so that silent endpoints are noticed, and a lost datagram is made good. */
const TELL_AGAIN_MS = 350

/** Mean interval between a host's requests up to which they count as frequent, in milliseconds. */
const FREQUENT_REQUESTS_MS = 150

/** Requests after which that mean says something. */
const LEAST_INTERVALS = 20

/** Weight of the newest interval in that mean. */
const INTERVAL_SMOOTHING = 0.1

const MILLISECONDS_PER_SECOND = 1000

/** What becomes of a request that is to be placed. */
export interface PlacementStep {
  /** Whether to ask now. */
  readonly asks: boolean
  /** Whether the request waits for an answer, {@link MAX_ANSWER_WAIT_MS} at most. */
  readonly waits: boolean
}

/** Times of one host. */
export class LoadExchangeScheduler {
  /** When the present view was asked for. */
  #viewAt = Number.NEGATIVE_INFINITY
  /** When the question was asked that has no answer yet. */
  #askedAt: number | undefined
  /** Mean interval between requests that were placed, and how many there were. */
  #intervalMs = 0
  #intervals = 0
  #placedAt: number | undefined
  #vainWaits = 0
  #savedQuestions = MOST_SAVED_QUESTIONS
  #savedAt = 0
  #tellAt: number | undefined

  /** @param liveHosts - hosts that share the questions of all, as of now */
  constructor (private readonly liveHosts: () => number) {}

  /**
   * @param now - monotonic milliseconds
   * @returns what to do for a request that is to be placed now
   */
  planPlacement (now: number): PlacementStep {
    this.#noteInterval(now)
    if (now - this.#viewAt <= FRESH_MS) return { asks: false, waits: false }
    const isUnderWay = this.#askedAt !== undefined && now - this.#askedAt < MAX_ANSWER_WAIT_MS
    if (!isUnderWay && this.#askedAt !== undefined) this.#noteVain()
    const asks = !isUnderWay && this.#takeQuestion(now)
    return { asks, waits: (isUnderWay || asks) && this.#vainWaits < MOST_VAIN_WAITS }
  }

  /** @param now - monotonic milliseconds at which a question was sent, which tells this host's work as well */
  recordQuery (now: number): void {
    this.#askedAt = now
    this.#tellAt = undefined
  }

  /** @param askedAt - when the question was asked that has been answered */
  recordAnswer (askedAt: number): void {
    this.#viewAt = Math.max(this.#viewAt, askedAt)
    this.#askedAt = undefined
    this.#vainWaits = 0
  }

  /**
   * @param now - monotonic milliseconds at which a request was sent to an endpoint
   * @returns whether the others are to be told at once
   */
  recordSend (now: number): boolean {
    if (!this.#isFrequent) return true
    this.recordChange(now)
    return false
  }

  /** @param now - monotonic milliseconds at which work at an endpoint changed */
  recordChange (now: number): void {
    const at = now + TELL_CHANGE_MS
    this.#tellAt = Math.min(at, this.#tellAt ?? at)
  }

  /**
   * @param hasWork - whether there was anything to tell
   * @param now - monotonic milliseconds at which it was told
   */
  recordReport (hasWork: boolean, now: number): void {
    this.#tellAt = hasWork ? now + TELL_AGAIN_MS : undefined
  }

  /** Monotonic milliseconds at which the others are to be told; undefined while there is nothing to tell. */
  get nextReportAt (): number | undefined { return this.#tellAt }

  /** Whether requests come often enough that questions can do without statements. */
  get #isFrequent (): boolean { return this.#intervals >= LEAST_INTERVALS && this.#intervalMs <= FREQUENT_REQUESTS_MS }

  #noteInterval (now: number): void {
    const intervalMs = now - (this.#placedAt ?? now)
    this.#placedAt = now
    this.#intervals += 1
    this.#intervalMs += (intervalMs - this.#intervalMs) * Math.max(INTERVAL_SMOOTHING, 1 / this.#intervals)
  }

  #noteVain (): void {
    this.#askedAt = undefined
    this.#vainWaits += 1
  }

  #takeQuestion (now: number): boolean {
    const perMs = QUESTIONS_PER_SECOND / MILLISECONDS_PER_SECOND / Math.max(1, this.liveHosts())
    this.#savedQuestions = Math.min(MOST_SAVED_QUESTIONS, this.#savedQuestions + (now - this.#savedAt) * perMs)
    this.#savedAt = now
    if (this.#savedQuestions < 1) return false
    this.#savedQuestions -= 1
    return true
  }
}
