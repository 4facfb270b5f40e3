/** Follows the platform's endpoint list through one control host at a time. */
import { setTimeout as sleep } from 'node:timers/promises'
import { watchEndpoints } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'

/**
 * Silence after which the watched control host is left, in milliseconds; it
 * sends a sign of life twice a second.
 */
const SILENCE_MS = 1200

/** Age of the list after which another control host may know more, in milliseconds. */
const STALE_MS = 3000

/** Pause before the next watch, in milliseconds. */
const RETRY_MS = 100

/** A watch that lasted this long was a good one: the next begins again with the preferred control host; in milliseconds. */
const GOOD_WATCH_MS = 5000

/** Keeps the newest list that any control host sent. */
export class EndpointListFollower {
  #endpoints: readonly ListedEndpoint[] = []
  #readAt = Number.NEGATIVE_INFINITY
  #turn = 0

  /**
   * @param rpc - client for the watch
   * @param candidates - control hosts to watch, the preferred one first, as of now
   * @param onChange - called after each change of the list
   */
  constructor (private readonly rpc: RpcClient, private readonly candidates: () => readonly string[], private readonly onChange: () => void) {}

  get endpoints (): readonly ListedEndpoint[] { return this.#endpoints }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since the platform stated the list; infinite before it ever did
   */
  ageMs (now: number): number {
    return now - this.#readAt
  }

  /** @param signal - ends the following */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const candidates = this.candidates()
      const startedAt = performance.now()
      await this.#watch(candidates[this.#turn % candidates.length] ?? '', signal)
      this.#turn = performance.now() - startedAt > GOOD_WATCH_MS ? 0 : this.#turn + 1
      await sleep(RETRY_MS)
    }
  }

  async #watch (address: string, signal: AbortSignal): Promise<void> {
    const silence = new AbortController()
    const startedAt = performance.now()
    let timer = setTimeout(() => { silence.abort() }, SILENCE_MS)
    await this.rpc.stream(address, watchEndpoints, {}, message => {
      clearTimeout(timer)
      timer = setTimeout(() => { silence.abort() }, SILENCE_MS)
      const now = performance.now()
      const readAt = message.readAgeMs < 0 ? Number.NEGATIVE_INFINITY : now - message.readAgeMs
      // A host that can't reach the platform is left for another.
      if (now - readAt > STALE_MS && now - startedAt > STALE_MS) silence.abort()
      this.#readAt = Math.max(this.#readAt, readAt)
      if (message.endpoints === undefined || message.readAgeMs < 0) return
      this.#endpoints = message.endpoints
      this.onChange()
    }, AbortSignal.any([signal, silence.signal]))
    clearTimeout(timer)
  }
}
