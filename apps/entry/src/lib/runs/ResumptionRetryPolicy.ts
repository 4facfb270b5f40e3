/** How long an answer of which the caller has a part waits for engines that refuse the rest of it. */
import type { Clock } from '@eelgrassmux/schema/Clock'

/** Longest time without a token, in milliseconds: the caller can't come back for the rest. */
const MAX_STALL_MS = 8000

/** Pause before engines are looked for again when there is none, in milliseconds; doubles up to the longest. */
const INITIAL_DELAY_MS = 100
const MAX_DELAY_MS = 1000

/** Most refusals of the rest of one answer. */
const MAX_REFUSALS = 30

/** Patience of one run. */
export class ResumptionRetryPolicy {
  #lastTokenAt = 0
  #refusals = 0
  #delayMs = INITIAL_DELAY_MS

  /** @param clock - time */
  constructor (private readonly clock: Clock) {}

  /** Monotonic milliseconds at which it ends. */
  get deadline (): number { return this.#lastTokenAt + MAX_STALL_MS }
  /** Refusals that it has borne. */
  get refusals (): number { return this.#refusals }

  /** Call when the answer has gone on. */
  noteTokens (): void {
    this.#lastTokenAt = this.clock.now()
    this.#delayMs = INITIAL_DELAY_MS
  }

  /** Bears one more refusal, if there is patience left for it. */
  noteRefusal (): void {
    if (this.#refusals < MAX_REFUSALS && this.clock.now() < this.deadline) this.#refusals += 1
  }

  /** @returns milliseconds to wait now that no engine is left */
  nextDelayMs (): number {
    const delayMs = this.#delayMs
    this.#delayMs = Math.min(MAX_DELAY_MS, delayMs * 2)
    return delayMs
  }
}
