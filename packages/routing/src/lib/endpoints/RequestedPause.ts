/** The pause that an endpoint requests from this host when it rejects a request. */

/** Time that the first request after a pause has to be answered before another one may be sent, in milliseconds. */
const TRIAL_MS = 1000

/** Mutable pause of one endpoint. */
export class RequestedPause {
  #until = Number.NEGATIVE_INFINITY
  #hasAcceptedSince = true

  /** Monotonic milliseconds at which the pause ends or ended; minus infinity if none was ever requested. */
  get until (): number { return this.#until }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the endpoint accepts nothing from this host now
   */
  isActive (now: number): boolean {
    return now < this.#until
  }

  /**
   * After a pause, one request is sent ahead of the others, because an endpoint that still rejects would reject them all.
   *
   * @param lastSentAt - monotonic milliseconds of this host's last send to the endpoint
   * @param now - monotonic milliseconds
   * @returns monotonic milliseconds until which the endpoint gets nothing from this host; undefined if it may get a request now
   */
  pausedUntil (lastSentAt: number, now: number): number | undefined {
    if (this.isActive(now)) return this.#until
    const isOnTrial = !this.#hasAcceptedSince && lastSentAt >= this.#until && now - lastSentAt < TRIAL_MS
    return isOnTrial ? now : undefined
  }

  /** @param now - monotonic milliseconds at which an answer that is no rejection arrived */
  recordAccepted (now: number): void {
    if (!this.isActive(now)) this.#hasAcceptedSince = true
  }

  /**
   * Applies the pause that a rejection requests; an active pause never becomes shorter.
   *
   * @param milliseconds - length of the pause from now
   * @param now - monotonic milliseconds
   * @returns whether no pause was active before
   */
  extend (milliseconds: number, now: number): boolean {
    const isNew = !this.isActive(now)
    this.#until = Math.max(this.#until, now + milliseconds)
    this.#hasAcceptedSince = false
    return isNew
  }
}
