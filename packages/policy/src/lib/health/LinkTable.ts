/** Estimates speed and backlog of store links from this host's transfers and the stores' reports. */
import type { LinkView } from '../placement/placementTypes.js'

/**
 * Number of recent transfers over which the speed is estimated. The estimate is
 * the fastest of them, because a transfer that shares the link with others
 * measures less than the link's speed. If the link itself slows down, all of them do.
 */
const MAX_SPEED_SAMPLES = 6

interface LinkState {
  configuredBytesPerMs: number
  /** Speeds of recent transfers in bytes per millisecond, newest last. */
  samples: number[]
  reportedBacklog: number
  reportedAt: number
  localPendingBytes: number
  lastTransferAt: number
}

/** Time without a transfer after which the oldest sample is dropped, so that a link that has recovered is tried again. */
const SAMPLE_EXPIRY_MS = 1000

/** Tracks all store links of one entry host. */
export class LinkTable {
  readonly #links = new Map<string, LinkState>()

  /**
   * @param store - store name
   * @param bytesPerSecond - configured speed of the store's link
   */
  configure (store: string, bytesPerSecond: number): void {
    const bytesPerMs = bytesPerSecond / 1000
    const present = this.#links.get(store)
    if (present?.configuredBytesPerMs === bytesPerMs) return
    this.#links.set(store, {
      configuredBytesPerMs: bytesPerMs,
      samples: [],
      reportedBacklog: 0,
      reportedAt: Number.NEGATIVE_INFINITY,
      localPendingBytes: 0,
      lastTransferAt: Number.NEGATIVE_INFINITY
    })
  }

  /** @param stores - stores that are still configured; all others are removed */
  retain (stores: ReadonlySet<string>): void {
    for (const store of this.#links.keys()) {
      if (!stores.has(store)) this.#links.delete(store)
    }
  }

  /**
   * @param store - store name
   * @param backlogBytes - bytes that the store has queued on its link
   * @param now - monotonic milliseconds
   */
  observeBacklog (store: string, backlogBytes: number, now: number): void {
    const link = this.#links.get(store)
    if (link === undefined) return
    link.reportedBacklog = backlogBytes
    link.reportedAt = now
    link.localPendingBytes = 0
  }

  /**
   * @param store - store name
   * @param bytes - size of the transfer that starts now
   */
  recordTransferStart (store: string, bytes: number): void {
    const link = this.#links.get(store)
    if (link !== undefined) link.localPendingBytes += bytes
  }

  /**
   * Adds a finished transfer to the speed estimate.
   *
   * @param store - store name
   * @param bytes - size of the transfer plus the bytes that were queued ahead of it
   * @param elapsedMs - time from the start to the end of the transfer
   * @param now - monotonic milliseconds
   */
  recordTransferEnd (store: string, bytes: number, elapsedMs: number, now: number): void {
    const link = this.#links.get(store)
    if (link === undefined) return
    link.samples.push(Math.min(bytes / Math.max(1, elapsedMs), link.configuredBytesPerMs))
    if (link.samples.length > MAX_SPEED_SAMPLES) link.samples.shift()
    link.lastTransferAt = now
  }

  /**
   * @param now - monotonic milliseconds
   * @returns current estimate for each store's link
   */
  views (now: number): Map<string, LinkView> {
    const views = new Map<string, LinkView>()
    for (const [store, link] of this.#links) {
      if (now - link.lastTransferAt > SAMPLE_EXPIRY_MS) {
        link.samples.shift()
        link.lastTransferAt = now
      }
      const bytesPerMs = estimateSpeed(link)
      const drained = Math.max(0, now - link.reportedAt) * bytesPerMs
      const reported = Math.max(0, link.reportedBacklog - drained)
      views.set(store, { bytesPerMs, backlogBytes: reported + link.localPendingBytes })
    }
    return views
  }
}

/** Returns the configured speed until there are enough samples. */
function estimateSpeed ({ samples, configuredBytesPerMs }: LinkState): number {
  return samples.length < MAX_SPEED_SAMPLES ? configuredBytesPerMs : Math.max(...samples)
}
