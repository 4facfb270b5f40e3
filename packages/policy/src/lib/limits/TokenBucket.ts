/** A bucket that fills at a steady rate and can't hold more than its burst. */
export class TokenBucket {
  #tokens: number
  #filledAt: number

  /**
   * @param ratePerMs - tokens added each millisecond
   * @param burst - most tokens held
   * @param now - monotonic milliseconds
   */
  constructor (private ratePerMs: number, private burst: number, now: number) {
    this.#tokens = burst
    this.#filledAt = now
  }

  /**
   * Takes tokens if there are enough.
   *
   * @param amount - tokens wanted
   * @param now - monotonic milliseconds
   * @returns whether they were taken
   */
  tryTake (amount: number, now: number): boolean {
    this.#fill(now)
    if (this.#tokens < amount) return false
    this.#tokens -= amount
    return true
  }

  /**
   * Changes rate and burst, keeping what is in the bucket up to the new burst.
   *
   * @param ratePerMs - tokens added each millisecond
   * @param burst - most tokens held
   * @param now - monotonic milliseconds
   */
  setRate (ratePerMs: number, burst: number, now: number): void {
    this.#fill(now)
    this.ratePerMs = ratePerMs
    this.burst = burst
    this.#tokens = Math.min(this.#tokens, burst)
  }

  #fill (now: number): void {
    this.#tokens = Math.min(this.burst, this.#tokens + (now - this.#filledAt) * this.ratePerMs)
    this.#filledAt = now
  }
}
