/** Follows what stores hold through one control host at a time. */
import { watchStoredParts, type WatchedState } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { StoreChange } from '@eelgrassmux/schema/site/storedParts'
import { WatchRotation } from './WatchRotation.js'

/**
 * Silence after which what is known is not vouched for any more, in
 * milliseconds. Control hosts free parts that others may still believe in, so
 * this belongs to the agreement between them and is not a matter of taste.
 */
export const VOUCHED_MS = 1000

/** Told of changes; `reset` comes first whenever another control host is watched. */
export interface StoredPartsListener {
  reset (): void
  apply (change: StoreChange): void
}

/** Keeps in step with one control host. */
export class StoredPartsFollower {
  #receivedAt = Number.NEGATIVE_INFINITY
  #clockAhead: number | undefined
  #known: { readonly incarnation: string, readonly version: number } | undefined
  readonly #rotation: WatchRotation

  /**
   * @param rpc - client for the watch
   * @param candidates - control hosts to watch, the preferred one first, as of now
   * @param listener - told of changes
   */
  constructor (private readonly rpc: RpcClient, candidates: () => readonly string[], private readonly listener: StoredPartsListener) {
    this.#rotation = new WatchRotation(candidates)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether what is known may be acted on
   */
  isLeaseValid (now: number): boolean {
    return now - this.#receivedAt < VOUCHED_MS
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the stores' clock, or undefined before any control host has stated it
   */
  storeClockMs (now: number): number | undefined {
    return this.#clockAhead === undefined ? undefined : now + this.#clockAhead
  }

  /** @param signal - ends the following */
  async run (signal: AbortSignal): Promise<void> {
    await this.#rotation.run(signal, async (address, watch) => {
      this.#receivedAt = Number.NEGATIVE_INFINITY
      this.#known = undefined
      this.listener.reset()
      await this.rpc.stream(address, watchStoredParts, {}, ({ incarnation, version, changes, clockMs }) => {
        watch.markAlive()
        const now = performance.now()
        this.#receivedAt = now
        this.#known = { incarnation, version }
        if (clockMs !== undefined) this.#clockAhead = clockMs - now
        for (const change of changes) this.listener.apply(change)
      }, watch.signal)
    })
  }

  /**
   * Takes a control host's word that there is nothing newer than what the watch has told.
   *
   * @param address - control host
   * @param state - how many changes it has seen
   * @param askedAt - monotonic milliseconds when it was asked
   */
  confirm (address: string, { incarnation, storedParts, storeClockMs }: WatchedState, askedAt: number): void {
    const watch = this.#rotation.openAt(address)
    if (watch === undefined || this.#known?.incarnation !== incarnation || this.#known.version !== storedParts) return
    watch.markAlive()
    this.#receivedAt = Math.max(this.#receivedAt, askedAt)
    if (storeClockMs !== undefined) this.#clockAhead = storeClockMs - performance.now()
  }
}
