/** How long an answer of which the caller has a part waits for engines that refuse the rest of it. */
import type { Clock } from '@eelgrassmux/schema/Clock'

/** Longest time without a token, in milliseconds: the caller can't come back for the rest. */
const PATIENCE_MS = 8000

/** Pause before engines are looked for again when there is none, in milliseconds; doubles up to the longest. */
const FIRST_PAUSE_MS = 100
const LONGEST_PAUSE_MS = 1000

/** Most refusals of the rest of one answer. */
const MOST_REFUSALS = 30

/** Patience of one run. */
export class ResumptionPatience {
  #lastTokenAt = 0
  #refusals = 0
  #pauseMs = FIRST_PAUSE_MS

  /** @param clock - time */
  constructor (private readonly clock: Clock) {}

  /** Monotonic milliseconds at which it ends. */
  get endsAt (): number { return this.#lastTokenAt + PATIENCE_MS }
  /** Refusals that it has borne. */
  get refusals (): number { return this.#refusals }

  /** Call when the answer has gone on. */
  noteTokens (): void {
    this.#lastTokenAt = this.clock.now()
    this.#pauseMs = FIRST_PAUSE_MS
  }

  /** Bears one more refusal, if there is patience left for it. */
  noteRefusal (): void {
    if (this.#refusals < MOST_REFUSALS && this.clock.now() < this.endsAt) this.#refusals += 1
  }

  /** @returns milliseconds to wait now that no engine is left */
  nextPauseMs (): number {
    const pauseMs = this.#pauseMs
    this.#pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2)
    return pauseMs
  }
}
