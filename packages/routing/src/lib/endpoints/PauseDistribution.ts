/** Distribution of pauses as ratios to a baseline, in logarithmic buckets, with less weight on older samples. */

/** Lower bound of the lowest bucket. */
const LEAST_RATIO = 0.25

/** Ratio of the bounds of a bucket. */
const BUCKET_RATIO = 1.2

/** Up to 75 times the baseline; longer pauses come from engines that have stalled. */
const BUCKETS = 32

/** Factor by which the weight of a sample falls with each later one; some 500 samples make up the distribution. */
const FORGETTING_FACTOR = 0.998

/** Weight of a ratio of 1 before samples were seen, in samples. */
const PRIOR_SAMPLES = 20

/** Ratio that stands for the samples in each bucket. */
const MIDDLES = Array.from({ length: BUCKETS }, (_, bucket) => LEAST_RATIO * BUCKET_RATIO ** (bucket + 0.5))

/** The part of a distribution above a limit. */
export interface PauseTail {
  /** Share of the samples above the limit. */
  readonly share: number
  /** Mean over all samples of the excess over the limit, as a ratio to the baseline. */
  readonly excess: number
}

/** Ratios of observed pauses to their baseline. */
export class PauseDistribution {
  readonly #weights = new Float64Array(BUCKETS)
  #total = PRIOR_SAMPLES

  constructor () {
    this.#weights[bucketOf(1)] = PRIOR_SAMPLES
  }

  /** @param ratio - an observed pause divided by its baseline */
  observe (ratio: number): void {
    for (let index = 0; index < BUCKETS; index += 1) this.#weights[index] = (this.#weights[index] ?? 0) * FORGETTING_FACTOR
    const index = bucketOf(ratio)
    this.#weights[index] = (this.#weights[index] ?? 0) + 1
    this.#total = this.#total * FORGETTING_FACTOR + 1
  }

  /** @param limit - limit of the pause divided by the baseline */
  tailAbove (limit: number): PauseTail {
    let [share, excess] = [0, 0]
    for (let bucket = BUCKETS - 1; bucket >= 0; bucket -= 1) {
      const over = (MIDDLES[bucket] ?? 0) - limit
      if (over <= 0) break
      const weight = this.#weights[bucket] ?? 0
      share += weight
      excess += weight * over
    }
    return { share: share / this.#total, excess: excess / this.#total }
  }
}

function bucketOf (ratio: number): number {
  return Math.min(BUCKETS - 1, Math.max(0, Math.floor(Math.log(ratio / LEAST_RATIO) / Math.log(BUCKET_RATIO))))
}
