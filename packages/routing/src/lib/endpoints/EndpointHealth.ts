/** Health of one endpoint, derived from the outcomes of requests to it. */

/** How a request to an endpoint ended, as far as the endpoint is responsible. */
export type RequestOutcome = 'success' | 'failure' | 'unreachable' | 'unanswered'

/** First pause after an endpoint was found unreachable, in milliseconds; a restart takes about a second. */
const UNREACHABLE_PAUSE_MS = 500

/** First pause after an endpoint failed many requests, in milliseconds. */
const FAILING_PAUSE_MS = 1500

/** Longest pause, in milliseconds; an endpoint that is gone leaves the list within seconds. */
const MAX_PAUSE_MS = 5000

/** Weight of the newest outcome in the failure share; the last dozen outcomes have two thirds of the weight. */
const SMOOTHING = 0.08

/**
 * Failure share above that of the endpoint's peers from which the endpoint is paused.
 * The users' sheets have routes on which 14 in 100 requests fail at any endpoint; a
 * faulty endpoint fails 40 and more. Random variation moves a share by 0.07.
 */
const EXCESS_FAILING_SHARE = 0.32

/** Time constant with which outcomes decay in the reports between hosts, in milliseconds; faults last for some seconds. */
const OUTCOME_DECAY_MS = 4000

/** Time constant with which rejections decay, in milliseconds: a full or busy endpoint accepts work again within a second or two. */
const REJECTION_DECAY_MS = 1500

/** Counts of recent outcomes, in which older ones weigh less. */
export interface RecentOutcomes {
  readonly outcomes: number
  readonly failures: number
}

/** Counts for an endpoint at which no request has ended yet. */
const NO_OUTCOMES: RecentOutcomes = { outcomes: 0, failures: 0 }

/** Mutable health of one endpoint. */
export class EndpointHealth {
  #failureShare = 0
  #pausedUntil = Number.NEGATIVE_INFINITY
  #pauses = 0
  #isUnreachable = false
  #recent = NO_OUTCOMES
  #recentAt = 0
  #rejections = 0
  #rejectedAt = 0

  /** Exponentially smoothed share of requests that failed. */
  get failureShare (): number { return this.#failureShare }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the endpoint should get no new work while others can take it
   */
  isPaused (now: number): boolean {
    return now < this.#pausedUntil
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the endpoint is paused because it could not be reached or did not answer
   */
  isUnreachable (now: number): boolean {
    return this.#isUnreachable && this.isPaused(now)
  }

  /** Whether any request has ended or been rejected at the endpoint. */
  get hasOutcomes (): boolean { return this.#recent.outcomes > 0 || this.#rejections > 0 }

  /**
   * @param now - monotonic milliseconds
   * @returns recent outcomes that this host observed; rejections count as failures
   */
  recentOutcomes (now: number): RecentOutcomes {
    if (!this.hasOutcomes) return NO_OUTCOMES
    const { outcomes, failures } = this.#decayedOutcomes(now)
    const rejections = this.#decayedRejections(now)
    return { outcomes: outcomes + rejections, failures: failures + rejections }
  }

  /**
   * Records a rejection. It says nothing about the requests that the endpoint runs, so it does not change the failure
   * share; but an endpoint that rejects much more than its peers runs nothing and would seem the least busy of all.
   *
   * @param now - monotonic milliseconds
   */
  observeRejection (now: number): void {
    this.#rejections = this.#decayedRejections(now) + 1
    this.#rejectedAt = now
  }

  /**
   * Records the outcome of a request.
   *
   * @param outcome - how it ended
   * @param now - monotonic milliseconds
   * @param peersFailureShare - mean failure share of the other endpoints of the service
   * @returns whether this outcome paused the endpoint
   */
  observe (outcome: RequestOutcome, now: number, peersFailureShare = 0): boolean {
    const sample = outcome === 'success' ? 0 : 1
    this.#failureShare += (sample - this.#failureShare) * SMOOTHING
    const { outcomes, failures } = this.#decayedOutcomes(now)
    this.#recent = { outcomes: outcomes + 1, failures: failures + sample }
    this.#recentAt = now
    if (outcome === 'success') {
      this.#pauses = 0
      return false
    }
    if (this.isPaused(now)) return false
    this.#isUnreachable = outcome !== 'failure'
    if (outcome === 'unreachable') return this.#pause(UNREACHABLE_PAUSE_MS, now)
    if (outcome === 'unanswered') return this.#pause(FAILING_PAUSE_MS, now)
    if (this.#failureShare - peersFailureShare < EXCESS_FAILING_SHARE) return false
    return this.#pause(FAILING_PAUSE_MS, now)
  }

  #decayedOutcomes (now: number): RecentOutcomes {
    const kept = Math.exp(-(now - this.#recentAt) / OUTCOME_DECAY_MS)
    return { outcomes: this.#recent.outcomes * kept, failures: this.#recent.failures * kept }
  }

  #decayedRejections (now: number): number {
    return this.#rejections * Math.exp(-(now - this.#rejectedAt) / REJECTION_DECAY_MS)
  }

  #pause (firstMs: number, now: number): boolean {
    this.#pausedUntil = now + Math.min(MAX_PAUSE_MS, firstMs * 2 ** this.#pauses)
    this.#pauses += 1
    return true
  }
}
