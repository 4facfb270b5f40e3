/** The time for which an endpoint that rejected a request wants nothing more from this host. */

/** Mutable pause of one endpoint. */
export class RequestedPause {
  #until = Number.NEGATIVE_INFINITY

  /** Monotonic milliseconds at which the pause ends, or ended; minus infinity if none was ever asked for. */
  get until (): number { return this.#until }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the endpoint wants nothing from this host now
   */
  isUnderWay (now: number): boolean {
    return now < this.#until
  }

  /**
   * Takes what a rejection asks for; a pause under way never becomes shorter.
   *
   * @param milliseconds - from now on
   * @param now - monotonic milliseconds
   * @returns whether no pause was under way before
   */
  request (milliseconds: number, now: number): boolean {
    const isNew = !this.isUnderWay(now)
    this.#until = Math.max(this.#until, now + milliseconds)
    return isNew
  }
}
