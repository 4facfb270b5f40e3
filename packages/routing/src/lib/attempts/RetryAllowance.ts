/**
 * This host's part of a budget for repeated requests that all entry hosts share.
 *
 * The budget holds for any window of some seconds: repeats may be a share of the
 * requests and a fixed number on top. Each host may spend that share of its own
 * requests, and its part of the fixed number, so the sum keeps to the budget
 * while hosts come and go without talking to each other.
 */

/** The shared budget. */
export interface RetryBudgetTerms {
  /** Repeats for each request. */
  readonly ratio: number
  /** Repeats on top in any window, over all hosts. */
  readonly slack: number
}

/**
 * Part of the budget that is used. The rest covers hosts that start anew within
 * a window with a part of their own, and repeats that are on their way when a window ends.
 */
const USABLE_SHARE = 0.75

/** Allowance of one service on one host. */
export class RetryAllowance {
  #tokens = 1

  /** @param terms - the shared budget */
  constructor (private readonly terms: RetryBudgetTerms) {}

  /**
   * Counts a first attempt.
   *
   * @param liveHosts - entry hosts that may be alive
   */
  recordRequest (liveHosts: number): void {
    const burst = Math.max(1, this.terms.slack * USABLE_SHARE / Math.max(1, liveHosts))
    this.#tokens = Math.min(burst, this.#tokens + this.terms.ratio * USABLE_SHARE)
  }

  /** @returns whether one more repeat may be sent; it then counts as spent */
  trySpend (): boolean {
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
