/** Keeps one watch open and switches to another control host whenever the current one fails or becomes silent. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { RpcError } from '@eelgrassmux/rpc/RpcError'

/** Silence after which another control host is watched, in milliseconds; a healthy one responds to status reports twice a second. */
const SILENCE_TIMEOUT_MS = 1200

/** Delay before the next watch is opened, in milliseconds. */
const RETRY_DELAY_MS = 100

/** Duration, in milliseconds, after which a watch counts as stable; when it ends, the next one starts at the preferred control host again. */
const STABLE_WATCH_MS = 5000

/** Handle of an open watch. */
export interface OpenWatch {
  /** Aborted when the watch must end. */
  readonly signal: AbortSignal
  /** Monotonic milliseconds at which the watch started. */
  readonly startedAt: number
  /** Restarts the silence timeout. Call for each message, and for each confirmation that there is nothing newer. */
  markAlive (): void
  /** Ends the watch so that another control host is watched. */
  leave (): void
}

type OpenAt = (address: string, watch: OpenWatch) => Promise<RpcError | undefined>

/** Opens watches at the candidates in turn until stopped. */
export class WatchRotation {
  #attempt = 0
  #open: { readonly address: string, readonly watch: OpenWatch } | undefined

  /** @param candidates - returns the control hosts to watch, the preferred one first; may be empty for a time */
  constructor (private readonly candidates: () => readonly string[]) {}

  /**
   * @param address - address of a control host
   * @returns the open watch at this control host, if there is one
   */
  openAt (address: string): OpenWatch | undefined {
    return this.#open?.address === address ? this.#open.watch : undefined
  }

  /**
   * @param signal - stops the rotation
   * @param open - opens a watch; the promise resolves when the watch has ended, with the error that broke it
   */
  async run (signal: AbortSignal, open: OpenAt): Promise<void> {
    while (!signal.aborted) {
      const candidates = this.candidates()
      const startedAt = performance.now()
      const address = candidates[this.#attempt % candidates.length]
      if (address === undefined) {
        await sleep(RETRY_DELAY_MS)
        continue
      }
      const error = await this.#openWatch(address, signal, startedAt, open)
      // Only the connection was at fault, and there is a new one.
      if (error?.kind === 'silent') continue
      this.#attempt = performance.now() - startedAt > STABLE_WATCH_MS ? 0 : this.#attempt + 1
      await sleep(RETRY_DELAY_MS)
    }
  }

  async #openWatch (address: string, signal: AbortSignal, startedAt: number, open: OpenAt): Promise<RpcError | undefined> {
    const leaveController = new AbortController()
    const leave = (): void => { leaveController.abort() }
    let timer = setTimeout(leave, SILENCE_TIMEOUT_MS)
    const markAlive = (): void => {
      clearTimeout(timer)
      timer = setTimeout(leave, SILENCE_TIMEOUT_MS)
    }
    const watch: OpenWatch = { signal: AbortSignal.any([signal, leaveController.signal]), startedAt, markAlive, leave }
    this.#open = { address, watch }
    const error = await open(address, watch)
    this.#open = undefined
    clearTimeout(timer)
    return error
  }
}
