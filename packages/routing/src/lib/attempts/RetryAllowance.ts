/**
 * This host's share of a retry budget that all entry hosts have in common.
 *
 * The budget holds for any window of a few seconds: retries may amount to a share of
 * the requests plus a fixed number. Each host may use that share of its own requests
 * and its part of the fixed number, so the sum stays within the budget while hosts
 * come and go without communicating.
 */

/** The shared budget. */
export interface RetryBudgetTerms {
  /** Retries per request. */
  readonly ratio: number
  /** Additional retries in any window, over all hosts. */
  readonly slack: number
}

/**
 * Share of the budget that hosts use. The rest covers hosts that restart within a
 * window with a new share, and retries that are in transit when a window ends.
 */
const USABLE_SHARE = 0.75

/** Token bucket for the retries of one service on one host. */
export class RetryAllowance {
  #tokens = 1

  /** @param terms - the shared budget */
  constructor (private readonly terms: RetryBudgetTerms) {}

  /**
   * Counts a first attempt.
   *
   * @param liveHosts - number of entry hosts that may be alive
   */
  recordRequest (liveHosts: number): void {
    const burst = Math.max(1, this.terms.slack * USABLE_SHARE / Math.max(1, liveHosts))
    this.#tokens = Math.min(burst, this.#tokens + this.terms.ratio * USABLE_SHARE)
  }

  /** @returns whether one more retry may be sent, which is then deducted */
  trySpend (): boolean {
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
