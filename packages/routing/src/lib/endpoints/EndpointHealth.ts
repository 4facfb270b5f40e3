/** Health of one endpoint, learnt from what requests to it show. */

/** How a request to an endpoint ended, as far as the endpoint is to blame. */
export type RequestOutcome = 'success' | 'failure' | 'unreachable' | 'unanswered'

/** First pause without new work after an endpoint was found unreachable, in milliseconds; a restart takes about a second. */
const UNREACHABLE_PAUSE_MS = 500

/** First pause after an endpoint failed many requests, in milliseconds. */
const FAILING_PAUSE_MS = 1500

/** Longest pause, in milliseconds; the list names endpoints that are gone within seconds. */
const LONGEST_PAUSE_MS = 5000

/** Weight of the newest outcome in the failure share; a dozen outcomes make up two thirds of it. */
const SMOOTHING = 0.08

/**
 * Failure share, beyond that of the endpoint's peers, above which it pauses. The
 * users' sheets have routes of which 14 in 100 requests fail wherever they run; a
 * faulty endpoint fails 40 and more. Chance alone moves a share by 0.07.
 */
const EXCESS_FAILING_SHARE = 0.32

/** Time in which an outcome loses two thirds of its weight in what hosts tell each other, in milliseconds: faults last for some seconds. */
const RECENT_MS = 4000

/** The same for rejections, in milliseconds: an endpoint that was full or busy takes work again within a second or two. */
const RECENT_REJECTION_MS = 1500

/** Outcomes of late; older ones count less. */
export interface RecentOutcomes {
  readonly outcomes: number
  readonly failures: number
}

/** Of an endpoint where no request has ended yet. */
const NO_OUTCOMES: RecentOutcomes = { outcomes: 0, failures: 0 }

/** Mutable health of one endpoint. */
export class EndpointHealth {
  #failureShare = 0
  #pausedUntil = Number.NEGATIVE_INFINITY
  #pauses = 0
  #isOutOfReach = false
  #recent = NO_OUTCOMES
  #recentAt = 0
  #rejections = 0
  #rejectedAt = 0

  /** Share of recent requests that failed. */
  get failureShare (): number { return this.#failureShare }

  /**
   * @param now - monotonic milliseconds
   * @returns whether it should get no new work if others can take it
   */
  isPaused (now: number): boolean {
    return now < this.#pausedUntil
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether it pauses because it could not be reached or did not answer
   */
  isUnreachable (now: number): boolean {
    return this.#isOutOfReach && this.isPaused(now)
  }

  /** Whether any request has ended there. */
  get hasOutcomes (): boolean { return this.#recent.outcomes > 0 || this.#rejections > 0 }

  /**
   * @param now - monotonic milliseconds
   * @returns outcomes of late at this host, rejections among the failures
   */
  recent (now: number): RecentOutcomes {
    if (!this.hasOutcomes) return NO_OUTCOMES
    const { outcomes, failures } = this.#recentRuns(now)
    const rejections = this.#recentRejections(now)
    return { outcomes: outcomes + rejections, failures: failures + rejections }
  }

  /**
   * Takes a rejection. It says nothing of what the endpoint runs, but one that rejects much more than its peers has
   * nothing to run and would seem the least busy of all.
   *
   * @param now - monotonic milliseconds
   */
  observeRejection (now: number): void {
    this.#rejections = this.#recentRejections(now) + 1
    this.#rejectedAt = now
  }

  /**
   * Takes the outcome of a request.
   *
   * @param outcome - how it ended
   * @param now - monotonic milliseconds
   * @param peersFailureShare - mean failure share of the other endpoints of the service
   * @returns whether the endpoint was paused by it
   */
  observe (outcome: RequestOutcome, now: number, peersFailureShare = 0): boolean {
    const sample = outcome === 'success' ? 0 : 1
    this.#failureShare += (sample - this.#failureShare) * SMOOTHING
    const { outcomes, failures } = this.#recentRuns(now)
    this.#recent = { outcomes: outcomes + 1, failures: failures + sample }
    this.#recentAt = now
    if (outcome === 'success') {
      this.#pauses = 0
      return false
    }
    if (this.isPaused(now)) return false
    this.#isOutOfReach = outcome !== 'failure'
    if (outcome === 'unreachable') return this.#pause(UNREACHABLE_PAUSE_MS, now)
    if (outcome === 'unanswered') return this.#pause(FAILING_PAUSE_MS, now)
    if (this.#failureShare - peersFailureShare < EXCESS_FAILING_SHARE) return false
    return this.#pause(FAILING_PAUSE_MS, now)
  }

  #recentRuns (now: number): RecentOutcomes {
    const kept = Math.exp(-(now - this.#recentAt) / RECENT_MS)
    return { outcomes: this.#recent.outcomes * kept, failures: this.#recent.failures * kept }
  }

  #recentRejections (now: number): number {
    return this.#rejections * Math.exp(-(now - this.#rejectedAt) / RECENT_REJECTION_MS)
  }

  #pause (firstMs: number, now: number): boolean {
    this.#pausedUntil = now + Math.min(LONGEST_PAUSE_MS, firstMs * 2 ** this.#pauses)
    this.#pauses += 1
    return true
  }
}
