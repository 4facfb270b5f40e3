/** A token bucket that refills at a constant rate up to a maximum burst. */
export class TokenBucket {
  #tokens: number
  #refilledAt: number

  /**
   * @param ratePerMs - tokens added per millisecond
   * @param burst - most tokens that the bucket holds
   * @param now - monotonic milliseconds
   */
  constructor (private ratePerMs: number, private burst: number, now: number) {
    this.#tokens = burst
    this.#refilledAt = now
  }

  /**
   * Takes tokens if enough are available.
   *
   * @param amount - tokens to take
   * @param now - monotonic milliseconds
   * @returns whether the tokens were taken
   */
  tryTake (amount: number, now: number): boolean {
    this.#refill(now)
    if (this.#tokens < amount) return false
    this.#tokens -= amount
    return true
  }

  /**
   * Changes rate and burst. Tokens in the bucket are kept, up to the new burst.
   *
   * @param ratePerMs - tokens added per millisecond
   * @param burst - most tokens that the bucket holds
   * @param now - monotonic milliseconds
   */
  setRate (ratePerMs: number, burst: number, now: number): void {
    this.#refill(now)
    this.ratePerMs = ratePerMs
    this.burst = burst
    this.#tokens = Math.min(this.#tokens, burst)
  }

  #refill (now: number): void {
    this.#tokens = Math.min(this.burst, this.#tokens + (now - this.#refilledAt) * this.ratePerMs)
    this.#refilledAt = now
  }
}
