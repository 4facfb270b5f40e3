/** Limits retries to a fraction of requests, so that retries do not overload a failing fleet. */

/** Retries that each first attempt adds to the budget. */
const RETRIES_PER_REQUEST = 0.1

/** Retries available before the first request. */
const INITIAL_BUDGET = 3
/** Most retries that can accumulate. */
const MAX_BUDGET = 50

/** Why a request is attempted again. Also used as a metric label. */
export type RetryReason =
  | 'connect-failed' | 'engine-refused' | 'version-mismatch' | 'engine-lost' | 'stream-gap' | 'hedge' | 'idempotent-failure'

/** Retry budget of one service. */
export class RetryBudget {
  #budget = INITIAL_BUDGET

  /** Number of retries that may be made now. */
  get available (): number { return Math.floor(this.#budget) }

  /** Adds the share of one first attempt to the budget. */
  recordRequest (): void {
    this.#budget = Math.min(MAX_BUDGET, this.#budget + RETRIES_PER_REQUEST)
  }

  /**
   * Takes one retry from the budget.
   *
   * @returns false if the budget is exhausted
   */
  tryConsume (): boolean {
    if (this.#budget < 1) return false
    this.#budget -= 1
    return true
  }
}
