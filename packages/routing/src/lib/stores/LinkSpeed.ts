/**
 * Estimates the current speed of a store's link relative to the speed that the site states.
 *
 * Links can become four or eight times slower for some seconds, at a load that they can carry only
 * at full speed. Transfers that were planned for such a link then wait for seconds, and hold
 * memory and slots of their engines. A slow link shows in first events that are later than
 * the prefill explains, so the estimate needs no probes.
 *
 * Speeds are expressed in doublings, the log2 of the slowdown: 0 means as fast as stated, and 2
 * means four times slower.
 */

/** Time in which a sample loses two thirds of its weight, in milliseconds: as long as ten transfers on a busy link. */
const SAMPLE_DECAY_MS = 1000

/** Share of weight that earlier samples of a host retain at its next one, so that two transfers of each host outweigh all earlier ones. */
const RETAINED_WEIGHT = 0.5

/** Weight of the previous estimate, in samples. */
const PRIOR_SAMPLES = 1

/** Time constant with which the estimate follows many samples, in milliseconds. */
const LEARNING_TIME_MS = 150

/** Time constant with which an estimate without samples decays, in milliseconds, so that a link that was slow is tried again. */
const ESTIMATE_DECAY_MS = 4000

/** Bounds of a sample, and so of an estimate, in doublings, so that a single outlier can't dominate the estimate. */
const DOUBLING_BOUNDS = { min: -1, max: 5 }

/** Recent observations of transfers. */
export interface SpeedEvidence {
  readonly samples: number
  /** Sum of the doublings of the samples. */
  readonly doublings: number
}

/** Decaying sums of one host's samples. */
export class SpeedSamples {
  #samples = 0
  #slower = 0
  #faster = 0
  #at = 0

  /**
   * @param doublings - slowdown of one transfer against the stated speed
   * @param now - monotonic milliseconds
   */
  add (doublings: number, now: number): void {
    const bounded = Math.min(DOUBLING_BOUNDS.max, Math.max(DOUBLING_BOUNDS.min, doublings))
    this.#decay(now)
    this.#scale(RETAINED_WEIGHT)
    this.#samples += 1
    this.#slower += Math.max(0, bounded)
    this.#faster += Math.max(0, -bounded)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns weighted number of samples, and sums of their positive and negative doublings
   */
  recent (now: number): { readonly samples: number, readonly slower: number, readonly faster: number } {
    this.#decay(now)
    return { samples: this.#samples, slower: this.#slower, faster: this.#faster }
  }

  #decay (now: number): void {
    this.#scale(Math.exp(-(now - this.#at) / SAMPLE_DECAY_MS))
    this.#at = now
  }

  #scale (share: number): void {
    this.#samples *= share
    this.#slower *= share
    this.#faster *= share
  }
}

/** A host's estimate of the speed of one link. */
export class LinkSpeed {
  #doublings: number
  #updatedAt: number

  /**
   * @param doublings - initial estimate
   * @param now - monotonic milliseconds
   */
  constructor (doublings: number, now: number) {
    this.#doublings = doublings
    this.#updatedAt = now
  }

  /**
   * Moves the estimate towards the observations: quickly if there are many samples, slowly if there are few.
   *
   * @param evidence - recent observations
   * @param now - monotonic milliseconds
   */
  update ({ samples, doublings }: SpeedEvidence, now: number): void {
    const current = this.doublings(now)
    const confidence = samples / (samples + PRIOR_SAMPLES)
    const learningRate = confidence * (1 - Math.exp(-(now - this.#updatedAt) / LEARNING_TIME_MS))
    const observed = samples === 0 ? current : doublings / samples
    this.#doublings = current + (observed - current) * learningRate
    this.#updatedAt = now
  }

  /**
   * @param now - monotonic milliseconds
   * @returns estimated slowdown in doublings
   */
  doublings (now: number): number {
    return this.#doublings * Math.exp(-(now - this.#updatedAt) / ESTIMATE_DECAY_MS)
  }
}
