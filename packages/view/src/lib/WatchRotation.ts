/** Keeps one watch open, at another control host whenever the present one fails or falls silent. */
import { setTimeout as sleep } from 'node:timers/promises'

/** Silence after which the watched control host is left, in milliseconds; it sends a sign of life twice a second. */
const SILENCE_MS = 1200

/** Pause before the next watch, in milliseconds. */
const RETRY_MS = 100

/** A watch that lasted this long was a good one: the next begins again with the preferred control host; in milliseconds. */
const GOOD_WATCH_MS = 5000

/** One watch as its owner sees it. */
export interface OpenWatch {
  /** Ends the watch. */
  readonly signal: AbortSignal
  /** Monotonic milliseconds when it began. */
  readonly startedAt: number
  /** Call for each message. */
  heard (): void
  /** Leaves this control host for another. */
  leave (): void
}

/** Opens watches by turns until stopped. */
export class WatchRotation {
  #turn = 0

  /** @param candidates - control hosts to watch, the preferred one first, as of now */
  constructor (private readonly candidates: () => readonly string[]) {}

  /**
   * @param signal - ends the rotation
   * @param open - opens a watch and resolves when it has ended
   */
  async run (signal: AbortSignal, open: (address: string, watch: OpenWatch) => Promise<void>): Promise<void> {
    while (!signal.aborted) {
      const candidates = this.candidates()
      const startedAt = performance.now()
      await this.#openOne(candidates[this.#turn % candidates.length] ?? '', signal, startedAt, open)
      this.#turn = performance.now() - startedAt > GOOD_WATCH_MS ? 0 : this.#turn + 1
      await sleep(RETRY_MS)
    }
  }

  async #openOne (
    address: string, signal: AbortSignal, startedAt: number, open: (address: string, watch: OpenWatch) => Promise<void>
  ): Promise<void> {
    const left = new AbortController()
    const leave = (): void => { left.abort() }
    let timer = setTimeout(leave, SILENCE_MS)
    const heard = (): void => {
      clearTimeout(timer)
      timer = setTimeout(leave, SILENCE_MS)
    }
    await open(address, { signal: AbortSignal.any([signal, left.signal]), startedAt, heard, leave })
    clearTimeout(timer)
  }
}
