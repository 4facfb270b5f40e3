/** Token bucket that bounds the bytes of a host's messages over time. */

/** Rate and burst of a budget. */
export interface ByteBudgetTerms {
  readonly bytesPerMs: number
  readonly burstBytes: number
}

/** Budget for messages. A message that is larger than what is available is funded later. */
export class ByteBudget {
  #bytes: number
  #updatedAt = 0

  /** @param terms - rate and burst */
  constructor (private readonly terms: ByteBudgetTerms) {
    this.#bytes = terms.burstBytes
  }

  /**
   * @param now - monotonic milliseconds
   * @returns bytes that may be sent now
   */
  available (now: number): number {
    this.#refill(now)
    return this.#bytes
  }

  /**
   * @param bytes - size of a message; it must not exceed the burst
   * @param now - monotonic milliseconds
   * @returns when the message may be sent, in monotonic milliseconds
   */
  availableAt (bytes: number, now: number): number {
    const missing = Math.min(bytes, this.terms.burstBytes) - this.available(now)
    return missing <= 0 ? now : now + Math.ceil(missing / this.terms.bytesPerMs)
  }

  /**
   * @param bytes - size of a message that is sent
   * @param now - monotonic milliseconds
   */
  spend (bytes: number, now: number): void {
    this.#refill(now)
    this.#bytes -= bytes
  }

  #refill (now: number): void {
    this.#bytes = Math.min(this.terms.burstBytes, this.#bytes + Math.max(0, now - this.#updatedAt) * this.terms.bytesPerMs)
    this.#updatedAt = Math.max(this.#updatedAt, now)
  }
}
