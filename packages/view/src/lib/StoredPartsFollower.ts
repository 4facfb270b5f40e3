/** Follows the contents of the stores through one control host at a time. */
import { watchStoredParts, type WatchedState } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { STORED_PARTS_BATCH_MS, type StoreChange } from '@eelgrassmux/schema/site/storedParts'
import { WatchProgress } from './WatchProgress.js'
import { WatchRotation } from './WatchRotation.js'

/**
 * How long the known contents may be relied on after the watched control host
 * last confirmed them, in milliseconds. Control hosts free parts that other
 * hosts may still consider stored, so this value is part of the protocol
 * between them and must not be changed on one side only.
 */
export const STORED_PARTS_LEASE_MS = 1000

/** Receives changes; `reset` is called first whenever a new watch starts. */
export interface StoredPartsListener {
  reset (): void
  apply (change: StoreChange): void
}

/** Stays synchronized with one control host. */
export class StoredPartsFollower {
  #clockOffsetMs: number | undefined
  readonly #progress = new WatchProgress()
  readonly #rotation: WatchRotation

  /**
   * @param rpc - client for the watch
   * @param candidates - returns the control hosts to watch, the preferred one first
   * @param listener - receives the changes
   */
  constructor (private readonly rpc: RpcClient, candidates: () => readonly string[], private readonly listener: StoredPartsListener) {
    this.#rotation = new WatchRotation(candidates)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether the known contents may be relied on
   */
  isLeaseValid (now: number): boolean {
    return now - this.#progress.completeAt < STORED_PARTS_LEASE_MS
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the clock of the stores in milliseconds, or undefined before any control host has reported it
   */
  storeClockMs (now: number): number | undefined {
    return this.#clockOffsetMs === undefined ? undefined : now + this.#clockOffsetMs
  }

  /** @param signal - stops the watch */
  async run (signal: AbortSignal): Promise<void> {
    await this.#rotation.run(signal, async (address, watch) => {
      this.#progress.restart(watch.startedAt)
      this.listener.reset()
      return await this.rpc.stream(address, watchStoredParts, {}, ({ incarnation, version, changes, clockMs }) => {
        watch.markAlive()
        this.#progress.receive({ incarnation, version })
        if (clockMs !== undefined) this.#clockOffsetMs = clockMs - performance.now()
        for (const change of changes) this.listener.apply(change)
      }, watch.signal, { isResponseDue: true })
    })
  }

  /**
   * Renews the lease once the watch has delivered what a control host had when it was asked.
   *
   * @param address - address of the control host
   * @param state - versions of the control host's data
   * @param askedAt - monotonic milliseconds at which the status request was sent
   */
  confirm (address: string, { incarnation, storedParts, storeClockMs }: WatchedState, askedAt: number): void {
    const watch = this.#rotation.openAt(address)
    if (watch === undefined) return
    if (this.#progress.confirm({ incarnation, version: storedParts }, askedAt) === 'behind') {
      this.rpc.expectMessage(address, STORED_PARTS_BATCH_MS)
      return
    }
    watch.markAlive()
    if (storeClockMs !== undefined) this.#clockOffsetMs = storeClockMs - performance.now()
  }
}
