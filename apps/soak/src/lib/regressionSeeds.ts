/** Seeds that failed once, played before all others; each with the cause. */

/** A run that once broke a promise. */
export interface RegressionSeed {
  readonly seed: number
  readonly seconds: number
  readonly cause: string
}

export const REGRESSION_SEEDS: readonly RegressionSeed[] = []
