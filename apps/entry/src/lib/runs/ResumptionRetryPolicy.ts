/** Limits how long and how often a partly delivered answer is retried while engines refuse to resume it. */
import type { Clock } from '@eelgrassmux/schema/Clock'

/** Longest time without a new token, in milliseconds; once the run has failed, the caller can't request the rest of the answer. */
const MAX_STALL_MS = 8000

/** Delay before the next placement when no engine is available, in milliseconds; doubles from the initial to the maximum delay. */
const INITIAL_DELAY_MS = 100
const MAX_DELAY_MS = 1000

/** Limit of refusals per answer. */
const MAX_REFUSALS = 30

/** Retry policy for resuming one run. */
export class ResumptionRetryPolicy {
  #lastTokenAt = 0
  #refusals = 0
  #delayMs = INITIAL_DELAY_MS

  /** @param clock - time source */
  constructor (private readonly clock: Clock) {}

  /** Time after which the run is no longer retried, in monotonic milliseconds. */
  get deadline (): number { return this.#lastTokenAt + MAX_STALL_MS }
  /** Refusals that do not count as attempts. */
  get refusals (): number { return this.#refusals }

  /** Must be called when the answer has new tokens. */
  noteTokens (): void {
    this.#lastTokenAt = this.clock.now()
    this.#delayMs = INITIAL_DELAY_MS
  }

  /** Excuses one more refusal, if it is within the limit and the deadline. */
  noteRefusal (): void {
    if (this.#refusals < MAX_REFUSALS && this.clock.now() < this.deadline) this.#refusals += 1
  }

  /** @returns milliseconds to wait before the next placement when no engine is available */
  nextDelayMs (): number {
    const delayMs = this.#delayMs
    this.#delayMs = Math.min(MAX_DELAY_MS, delayMs * 2)
    return delayMs
  }
}
