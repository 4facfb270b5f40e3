/** When a host last heard from one endpoint, and since when it fails to. */

/** Age up to which a failure is evidence, in milliseconds. */
const FAILURE_LIFETIME_MS = 3000

/** What is known of the contact between this host and one endpoint. */
export interface EndpointContact {
  /** Milliseconds since this host last received a byte. */
  readonly heardAgoMs: number
  /** Milliseconds since a connection last failed, or broke before it brought a byte; infinite if that is long ago. */
  readonly failedAgoMs: number
  /** Milliseconds since the first such failure after the last byte; 0 if there is none. */
  readonly failingForMs: number
  /** Milliseconds for which requests of this host have been there without a byte; 0 if there are none. */
  readonly unansweredMs: number
  /** Milliseconds since this host sent a probe that has not been answered; 0 if there is none. */
  readonly unansweredProbeMs: number
  /** Milliseconds since any host received a byte, as last reported. */
  readonly heardByAnyAgoMs: number
}

/** Contact with one endpoint. */
export class ContactTimes {
  #heardAt = Number.NEGATIVE_INFINITY
  #failedAt = Number.NEGATIVE_INFINITY
  #failingSince: number | undefined

  /** @param now - when a byte arrived, in monotonic milliseconds */
  observeBytes (now: number): void {
    this.#heardAt = now
    this.#failingSince = undefined
  }

  /** @param now - when a connection failed or broke before it brought a byte, in monotonic milliseconds */
  observeFailure (now: number): void {
    this.#failedAt = now
    this.#failingSince ??= now
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since the last byte; infinite if there was none
   */
  heardAgoMs (now: number): number {
    return now - this.#heardAt
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since the last failure; infinite if that is no evidence any more
   */
  failedAgoMs (now: number): number {
    const ago = now - this.#failedAt
    return ago > FAILURE_LIFETIME_MS ? Number.POSITIVE_INFINITY : ago
  }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since the first failure after the last byte; 0 if there is none
   */
  failingForMs (now: number): number {
    return this.#failingSince === undefined ? 0 : now - this.#failingSince
  }
}
