/** Follows the platform's endpoint list through one control host at a time. */
import { watchEndpoints, type WatchedState } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { WatchRotation, type OpenWatch } from './WatchRotation.js'

/** Age of the list after which another control host may know more, in milliseconds. */
const MAX_LIST_AGE_MS = 3000

/** Keeps the newest list that any control host sent. */
export class EndpointListFollower {
  #endpoints: readonly ListedEndpoint[] = []
  #readAt = Number.NEGATIVE_INFINITY
  #received: { readonly incarnation: string, readonly version: number } | undefined
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

  /**
   * @param address - control host
   * @returns whether the list is followed there
   */
  isWatching (address: string): boolean {
    return this.#rotation.openAt(address) !== undefined
  }

  /** @param signal - ends the following */
  async run (signal: AbortSignal): Promise<void> {
    await this.#rotation.run(signal, async (address, watch) => {
      this.#received = undefined
      await this.rpc.stream(address, watchEndpoints, {}, ({ incarnation, version, readAgeMs, endpoints }) => {
        this.#received = { incarnation, version }
        this.#recordRead(watch, readAgeMs, performance.now())
        if (endpoints === undefined || readAgeMs < 0) return
        this.#endpoints = endpoints
        this.onChange()
      }, watch.signal)
    })
  }

  /**
   * Takes what a control host says of its list apart from the watch.
   *
   * @param address - control host
   * @param state - how far its list has got
   * @param askedAt - monotonic milliseconds when it was asked
   */
  confirm (address: string, { incarnation, endpointList, listAgeMs }: WatchedState, askedAt: number): void {
    const watch = this.#rotation.openAt(address)
    // What is newer than this host's list is on its way through the watch.
    if (watch === undefined || this.#received?.incarnation !== incarnation || this.#received.version !== endpointList) return
    this.#recordRead(watch, listAgeMs, askedAt)
  }

  #recordRead (watch: OpenWatch, readAgeMs: number, now: number): void {
    watch.markAlive()
    const readAt = readAgeMs < 0 ? Number.NEGATIVE_INFINITY : now - readAgeMs
    // A host that can't reach the platform is left for another.
    if (now - readAt > MAX_LIST_AGE_MS && now - watch.startedAt > MAX_LIST_AGE_MS) watch.leave()
    this.#readAt = Math.max(this.#readAt, readAt)
  }
}
