/** Endpoints that a request was sent to, and when it may be sent on after rejections. */

/** Rejections in a row after which the next endpoint is still asked at once. */
const IMMEDIATE_RETRIES = 2

/** Pause before the next endpoint is asked after further rejections, in milliseconds; doubles with each, up to the longest. */
const MIN_RETRY_PAUSE_MS = 150
const MAX_RETRY_PAUSE_MS = 500

/** Endpoints of one request. */
export class TriedEndpoints {
  readonly #ids = new Set<string>()
  readonly #failed = new Set<string>()
  #consecutiveRejections = 0
  #retryAt = Number.NEGATIVE_INFINITY

  /** Endpoints that it is not sent to again. */
  get ids (): ReadonlySet<string> { return this.#ids }

  /** Monotonic milliseconds before which a request that can wait asks no further endpoint. */
  get retryAt (): number { return this.#retryAt }

  /** @param id - endpoint to which it is sent */
  add (id: string): void {
    this.#ids.add(id)
  }

  /** @param id - endpoint at which it failed: another run there could end it the same way */
  observeFailure (id: string): void {
    this.#failed.add(id)
  }

  /** @param now - monotonic milliseconds at which an endpoint rejected it */
  observeRejection (now: number): void {
    this.#consecutiveRejections += 1
    const doublings = this.#consecutiveRejections - IMMEDIATE_RETRIES
    if (doublings >= 0) this.#retryAt = now + Math.min(MAX_RETRY_PAUSE_MS, MIN_RETRY_PAUSE_MS * 2 ** doublings)
  }

  /** Call when bytes of the answer have come: what rejected it before says nothing of the next time. */
  observeProgress (): void {
    this.#consecutiveRejections = 0
    this.#retryAt = Number.NEGATIVE_INFINITY
  }

  /**
   * Allows endpoints again that rejected the request or fell silent: they may have room, or have recovered.
   *
   * @param present - endpoint where it still runs
   */
  allowAgain (present: string | undefined): void {
    for (const id of this.#ids) {
      if (id !== present && !this.#failed.has(id)) this.#ids.delete(id)
    }
  }
}
