/**
 * How much slower an endpoint is than estimated.
 *
 * Engines differ in speed, links between them turn slow, and some engines are
 * held up by what no estimate knows of. Whatever the reason, requests that took
 * longer than estimated say that the next will, too. Hosts tell each other what they
 * have seen: with 195 hosts before 55 engines one alone sees a given engine every
 * 14 seconds, and all together see it 14 times a second.
 */

/** Bounds of one sample: a single odd request must not settle the matter. */
const SAMPLE_BOUNDS = { least: 0.4, most: 5 }

/** Samples that a sound endpoint is credited with: three requests make up half of the estimate. */
const CREDITED_SAMPLES = 3

/**
 * Time in which a sample loses two thirds of its weight, in milliseconds: engines are slow for some
 * seconds at a time, and a slow one has to be tried again.
 */
const RECENT_MS = 3000

/** What requests of late have shown; older ones count less. */
export interface TimedRequests {
  /** Requests that were timed. */
  readonly timed: number
  /** Over those, by how many doublings they took longer than estimated; negative if they took less. */
  readonly doublings: number
}

/** Nothing seen. */
export const NOTHING_TIMED: TimedRequests = { timed: 0, doublings: 0 }

/** What one host has seen of one endpoint. */
export class Slowness {
  #timed = 0
  #doublings = 0
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
    const sample = Math.log2(Math.min(SAMPLE_BOUNDS.most, Math.max(SAMPLE_BOUNDS.least, ratio)))
    const kept = this.#keptShare(now)
    this.#timed = this.#timed * kept + 1
    this.#doublings = this.#doublings * kept + sample
    this.#observedAt = now
  }

  /**
   * @param now - monotonic milliseconds
   * @returns what this host has to tell others
   */
  recent (now: number): TimedRequests {
    const kept = this.#keptShare(now)
    return { timed: this.#timed * kept, doublings: this.#doublings * kept }
  }

  /**
   * @param now - monotonic milliseconds
   * @param others - what other hosts have seen
   * @returns factor on estimates; 1 if nothing is known
   */
  factor (now: number, others: TimedRequests = NOTHING_TIMED): number {
    const own = this.recent(now)
    return 2 ** ((own.doublings + others.doublings) / (own.timed + others.timed + CREDITED_SAMPLES))
  }

  #keptShare (now: number): number {
    return Math.exp(-(now - this.#observedAt) / RECENT_MS)
  }
}
