/** Keeps retries to a share of requests, so that a failing fleet is not loaded further. */

/** Retries added to the budget by each first attempt. */
const RETRIES_PER_REQUEST = 0.1

/** Retries allowed before any traffic was seen, and the most that can be saved up. */
const LEAST_BUDGET = 3
const LARGEST_BUDGET = 50

/** Why a second attempt is made; also the metric label. */
export type RetryReason =
  | 'connect-failed' | 'engine-refused' | 'version-mismatch' | 'engine-lost' | 'stream-gap' | 'hedge' | 'idempotent-failure'

/** Budget of one service. */
export class RetryBudget {
  #budget = LEAST_BUDGET

  /** Number of retries that may be made now. */
  get available (): number { return Math.floor(this.#budget) }

  /** Counts a first attempt. */
  recordRequest (): void {
    this.#budget = Math.min(LARGEST_BUDGET, this.#budget + RETRIES_PER_REQUEST)
  }

  /**
   * Spends one retry.
   *
   * @returns false if the budget is used up
   */
  tryConsume (): boolean {
    if (this.#budget < 1) return false
    this.#budget -= 1
    return true
  }
}
