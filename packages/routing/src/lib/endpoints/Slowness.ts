/**
 * Estimates how much slower an endpoint is than predicted.
 *
 * Engines differ in speed, links between them become slow, and some engines are
 * delayed by causes that no estimate covers. Whatever the cause, requests that took
 * longer than estimated predict that the next ones will do so, too.
 */

/** Weight of the newest sample; the last seven requests or so have two thirds of the weight in the mean. */
const SMOOTHING = 0.15

/** Bounds of one sample, so that a single outlier does not decide the factor. */
const SAMPLE_BOUNDS = { least: 0.4, most: 5 }

/** Time constant with which the factor decays towards 1, in milliseconds, so that a slow endpoint is tried again. */
const DECAY_MS = 6000

/** Slowness factor of one endpoint. */
export class Slowness {
  #logFactor = 0
  #observedAt = 0

  /**
   * Records how long a request took compared with its estimate.
   *
   * @param actualMs - time to the first event
   * @param estimatedMs - estimate when the endpoint was chosen, without this factor
   * @param now - monotonic milliseconds
   */
  observe (actualMs: number, estimatedMs: number, now: number): void {
    const ratio = actualMs / Math.max(1, estimatedMs)
    const sample = Math.log(Math.min(SAMPLE_BOUNDS.most, Math.max(SAMPLE_BOUNDS.least, ratio)))
    const present = this.#decayed(now)
    this.#logFactor = present + (sample - present) * SMOOTHING
    this.#observedAt = now
  }

  /**
   * @param now - monotonic milliseconds
   * @returns factor by which to multiply estimates; 1 if nothing is known
   */
  factor (now: number): number {
    return Math.exp(this.#decayed(now))
  }

  #decayed (now: number): number {
    return this.#logFactor * Math.exp(-(now - this.#observedAt) / DECAY_MS)
  }
}
