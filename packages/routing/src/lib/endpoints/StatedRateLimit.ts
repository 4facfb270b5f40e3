/**
 * The rate of requests that an endpoint says it takes, from all hosts together.
 *
 * It holds for as long as answers name it; the first one that does not lifts it.
 */

/** Mutable statement of one endpoint. */
export class StatedRateLimit {
  #requestsPerSecond: number | undefined
  #statedAt = Number.NEGATIVE_INFINITY

  /** As stated last; undefined if it names none. */
  get requestsPerSecond (): number | undefined { return this.#requestsPerSecond }

  /** Monotonic milliseconds of the newest statement; minus infinity if no limit was ever stated. */
  get statedAt (): number { return this.#statedAt }

  /**
   * Takes a statement; one that is older than what is known is ignored.
   *
   * @param requestsPerSecond - as stated, undefined if the answer names no limit
   * @param at - monotonic milliseconds at which it was stated
   * @returns whether the limit is another one now
   */
  observe (requestsPerSecond: number | undefined, at: number): boolean {
    // Most endpoints never state a limit; nothing is remembered of those.
    if (requestsPerSecond === undefined && this.#requestsPerSecond === undefined) return false
    if (at < this.#statedAt) return false
    const isOther = requestsPerSecond !== this.#requestsPerSecond
    this.#requestsPerSecond = requestsPerSecond
    this.#statedAt = at
    return isOther
  }
}
