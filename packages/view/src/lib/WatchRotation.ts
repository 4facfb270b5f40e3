/** Keeps one watch open, at another control host whenever the present one fails or falls silent. */
import { setTimeout as sleep } from 'node:timers/promises'

/** Silence after which the watched control host is left, in milliseconds; it answers status reports twice a second. */
const SILENCE_TIMEOUT_MS = 1200

/** Pause before the next watch, in milliseconds. */
const RETRY_DELAY_MS = 100

/** A watch that lasted this long was a good one: the next begins again with the preferred control host; in milliseconds. */
const STABLE_WATCH_MS = 5000

/** One watch as its owner sees it. */
export interface OpenWatch {
  /** Ends the watch. */
  readonly signal: AbortSignal
  /** Monotonic milliseconds when it began. */
  readonly startedAt: number
  /** Call for each message, and for each statement that there is none to send. */
  markAlive (): void
  /** Leaves this control host for another. */
  leave (): void
}

/** Opens watches by turns until stopped. */
export class WatchRotation {
  #attempt = 0
  #open: { readonly address: string, readonly watch: OpenWatch } | undefined

  /** @param candidates - control hosts to watch, the preferred one first, as of now */
  constructor (private readonly candidates: () => readonly string[]) {}

  /**
   * @param address - a control host
   * @returns the watch that is open there, if there is one
   */
  openAt (address: string): OpenWatch | undefined {
    return this.#open?.address === address ? this.#open.watch : undefined
  }

  /**
   * @param signal - ends the rotation
   * @param open - opens a watch and resolves when it has ended
   */
  async run (signal: AbortSignal, open: (address: string, watch: OpenWatch) => Promise<void>): Promise<void> {
    while (!signal.aborted) {
      const candidates = this.candidates()
      const startedAt = performance.now()
      await this.#openWatch(candidates[this.#attempt % candidates.length] ?? '', signal, startedAt, open)
      this.#attempt = performance.now() - startedAt > STABLE_WATCH_MS ? 0 : this.#attempt + 1
      await sleep(RETRY_DELAY_MS)
    }
  }

  async #openWatch (
    address: string, signal: AbortSignal, startedAt: number, open: (address: string, watch: OpenWatch) => Promise<void>
  ): Promise<void> {
    const leaveController = new AbortController()
    const leave = (): void => { leaveController.abort() }
    let timer = setTimeout(leave, SILENCE_TIMEOUT_MS)
    const markAlive = (): void => {
      clearTimeout(timer)
      timer = setTimeout(leave, SILENCE_TIMEOUT_MS)
    }
    const watch: OpenWatch = { signal: AbortSignal.any([signal, leaveController.signal]), startedAt, markAlive, leave }
    this.#open = { address, watch }
    await open(address, watch)
    this.#open = undefined
    clearTimeout(timer)
  }
}
