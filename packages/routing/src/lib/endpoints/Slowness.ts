/**
 * How much slower an endpoint is than estimated.
 *
 * Engines differ in speed, links between them turn slow, and some engines are
 * held up by what no estimate knows of. Whatever the reason, requests that took
 * longer than estimated say that the next will, too.
 */

/** Weight of the newest sample: about seven requests make up two thirds of the mean. */
const SMOOTHING = 0.15

/** Bounds of one sample: a single odd request must not settle the matter. */
const SAMPLE_BOUNDS = { least: 0.4, most: 5 }

/** Time in which what was learnt loses two thirds of its weight, in milliseconds, so that a slow endpoint is tried again. */
const DECAY_MS = 6000

/** Learnt factor of one endpoint. */
export class Slowness {
  #logFactor = 0
  #observedAt = 0

  /**
   * Takes the outcome of an estimate.
   *
   * @param actualMs - time to the first event
   * @param estimatedMs - as estimated when the endpoint was chosen, without this factor
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
   * @returns factor on estimates; 1 if nothing is known
   */
  factor (now: number): number {
    return Math.exp(this.#decayed(now))
  }

  #decayed (now: number): number {
    return this.#logFactor * Math.exp(-(now - this.#observedAt) / DECAY_MS)
  }
}
