/** The time for which an endpoint that rejected a request wants nothing more from this host. */

/** Time for which a request that follows a pause has to be answered before another one may try, in milliseconds. */
const TRIAL_MS = 1000

/** Mutable pause of one endpoint. */
export class RequestedPause {
  #until = Number.NEGATIVE_INFINITY
  #hasAcceptedSince = true

  /** Monotonic milliseconds at which the pause ends, or ended; minus infinity if none was ever asked for. */
  get until (): number { return this.#until }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the endpoint wants nothing from this host now
   */
  isActive (now: number): boolean {
    return now < this.#until
  }

  /**
   * After a pause one request goes ahead of the others: an endpoint that still rejects would reject them all.
   *
   * @param lastSentAt - monotonic milliseconds of this host's last send there
   * @param now - monotonic milliseconds
   * @returns until when the endpoint gets nothing from this host, in monotonic milliseconds; undefined if it may get a request now
   */
  pausedUntil (lastSentAt: number, now: number): number | undefined {
    if (this.isActive(now)) return this.#until
    const isOnTrial = !this.#hasAcceptedSince && lastSentAt >= this.#until && now - lastSentAt < TRIAL_MS
    return isOnTrial ? now : undefined
  }

  /** @param now - monotonic milliseconds at which an answer came that is no rejection */
  recordAccepted (now: number): void {
    if (!this.isActive(now)) this.#hasAcceptedSince = true
  }

  /**
   * Takes what a rejection asks for; a pause under way never becomes shorter.
   *
   * @param milliseconds - from now on
   * @param now - monotonic milliseconds
   * @returns whether no pause was under way before
   */
  extend (milliseconds: number, now: number): boolean {
    const isNew = !this.isActive(now)
    this.#until = Math.max(this.#until, now + milliseconds)
    this.#hasAcceptedSince = false
    return isNew
  }
}
