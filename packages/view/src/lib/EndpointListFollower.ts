/** Follows the platform's endpoint list through one control host at a time. */
import { watchEndpoints } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { WatchRotation } from './WatchRotation.js'

/** Age of the list after which another control host may know more, in milliseconds. */
const STALE_MS = 3000

/** Keeps the newest list that any control host sent. */
export class EndpointListFollower {
  #endpoints: readonly ListedEndpoint[] = []
  #readAt = Number.NEGATIVE_INFINITY
  readonly #rotation: WatchRotation

  /**
   * @param rpc - client for the watch
   * @param candidates - control hosts to watch, the preferred one first, as of now
   * @param onChange - called after each change of the list
   */
  constructor (private readonly rpc: RpcClient, candidates: () => readonly string[], private readonly onChange: () => void) {
    this.#rotation = new WatchRotation(candidates)
  }

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
    await this.#rotation.run(signal, async (address, watch) => {
      await this.rpc.stream(address, watchEndpoints, {}, ({ readAgeMs, endpoints }) => {
        watch.heard()
        const now = performance.now()
        const readAt = readAgeMs < 0 ? Number.NEGATIVE_INFINITY : now - readAgeMs
        // A host that can't reach the platform is left for another.
        if (now - readAt > STALE_MS && now - watch.startedAt > STALE_MS) watch.leave()
        this.#readAt = Math.max(this.#readAt, readAt)
        if (endpoints === undefined || readAgeMs < 0) return
        this.#endpoints = endpoints
        this.onChange()
      }, watch.signal)
    })
  }
}
