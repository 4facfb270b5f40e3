/** Follows the platform's endpoint list through one control host at a time. */
import { watchEndpoints, type WatchedState } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { WatchProgress } from './WatchProgress.js'
import { WatchRotation, type OpenWatch } from './WatchRotation.js'

/** Age of the list, in milliseconds, after which another control host is tried because it may have a newer one. */
const MAX_LIST_AGE_MS = 3000

/** Keeps the newest list received from any control host. */
export class EndpointListFollower {
  #endpoints: readonly ListedEndpoint[] = []
  #readAt = Number.NEGATIVE_INFINITY
  readonly #progress = new WatchProgress()
  readonly #rotation: WatchRotation

  /**
   * @param rpc - client for the watch
   * @param candidates - returns the control hosts to watch, the preferred one first
   * @param onChange - called after each change of the list
   */
  constructor (private readonly rpc: RpcClient, candidates: () => readonly string[], private readonly onChange: () => void) {
    this.#rotation = new WatchRotation(candidates)
  }

  get endpoints (): readonly ListedEndpoint[] { return this.#endpoints }

  /**
   * @param now - monotonic milliseconds
   * @returns milliseconds since the platform returned the list; infinite before the first list
   */
  ageMs (now: number): number {
    return now - this.#readAt
  }

  /**
   * @param address - address of a control host
   * @returns whether the list is watched at this control host
   */
  isWatching (address: string): boolean {
    return this.#rotation.openAt(address) !== undefined
  }

  /** @param signal - stops the watch */
  async run (signal: AbortSignal): Promise<void> {
    await this.#rotation.run(signal, async (address, watch) => {
      this.#progress.restart(watch.startedAt)
      return await this.rpc.stream(address, watchEndpoints, {}, ({ incarnation, version, readAgeMs, endpoints }) => {
        this.#recordRead(watch, readAgeMs, this.#progress.receive({ incarnation, version }))
        if (endpoints === undefined || readAgeMs < 0) return
        this.#endpoints = endpoints
        this.onChange()
      }, watch.signal, { isResponseDue: true })
    })
  }

  /**
   * Updates the age of the list from a status response, if the control host has the same list as this host.
   *
   * @param address - address of the control host
   * @param state - version and age of the control host's list
   * @param askedAt - monotonic milliseconds at which the status request was sent
   */
  confirm (address: string, { incarnation, endpointList, listAgeMs }: WatchedState, askedAt: number): void {
    const watch = this.#rotation.openAt(address)
    if (watch === undefined) return
    const progress = this.#progress.confirm({ incarnation, version: endpointList }, askedAt)
    if (progress === 'behind') this.rpc.expectMessage(address)
    if (progress === 'same') this.#recordRead(watch, listAgeMs, askedAt)
  }

  /** @param statedAt - monotonic milliseconds at which the control host stated the age at the earliest */
  #recordRead (watch: OpenWatch, readAgeMs: number, statedAt: number): void {
    watch.markAlive()
    const readAt = readAgeMs < 0 ? Number.NEGATIVE_INFINITY : statedAt - readAgeMs
    // Switch to another control host if this one cannot reach the platform.
    if (statedAt - readAt > MAX_LIST_AGE_MS && performance.now() - watch.startedAt > MAX_LIST_AGE_MS) watch.leave()
    this.#readAt = Math.max(this.#readAt, readAt)
  }
}
