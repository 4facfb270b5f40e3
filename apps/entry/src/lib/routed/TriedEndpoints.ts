/** Endpoints that a request was sent to, and the pause before the next one after rejections. */

/** Consecutive rejections from which the next attempt waits. */
const REJECTIONS_BEFORE_PAUSE = 2

/** Pause before the next attempt, in milliseconds; it doubles with each further rejection, up to the maximum. */
const MIN_RETRY_PAUSE_MS = 150
const MAX_RETRY_PAUSE_MS = 500

/** Tracks the endpoints that one request was sent to. */
export class TriedEndpoints {
  readonly #ids = new Set<string>()
  readonly #failed = new Set<string>()
  #consecutiveRejections = 0
  #retryAt = Number.NEGATIVE_INFINITY

  /** Ids of the endpoints that the request is not sent to again. */
  get ids (): ReadonlySet<string> { return this.#ids }

  /** Earliest time of the next attempt for a request that can wait, in monotonic milliseconds. */
  get retryAt (): number { return this.#retryAt }

  /** @param id - id of an endpoint that the request is sent to */
  add (id: string): void {
    this.#ids.add(id)
  }

  /** @param id - id of an endpoint where the request failed; it stays excluded, because another attempt there could fail in the same way */
  observeFailure (id: string): void {
    this.#failed.add(id)
  }

  /** @param id - id of an endpoint that rejected the request and may get it again */
  forget (id: string): void {
    if (!this.#failed.has(id)) this.#ids.delete(id)
  }

  /** @param now - when an endpoint rejected the request, in monotonic milliseconds */
  observeRejection (now: number): void {
    this.#consecutiveRejections += 1
    const doublings = this.#consecutiveRejections - REJECTIONS_BEFORE_PAUSE
    if (doublings >= 0) this.#retryAt = now + Math.min(MAX_RETRY_PAUSE_MS, MIN_RETRY_PAUSE_MS * 2 ** doublings)
  }

  /** Resets the pause. Call when bytes of the response have arrived, because earlier rejections say nothing about the next attempt. */
  observeProgress (): void {
    this.#consecutiveRejections = 0
    this.#retryAt = Number.NEGATIVE_INFINITY
  }

  /**
   * Allows endpoints again that rejected the request or stopped responding, because they may have capacity again or have recovered.
   *
   * @param present - id of the endpoint where the request still runs
   */
  allowAgain (present: string | undefined): void {
    for (const id of this.#ids) {
      if (id !== present && !this.#failed.has(id)) this.#ids.delete(id)
    }
  }
}
