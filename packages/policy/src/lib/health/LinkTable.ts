/** Speed and backlog of store links, learnt from own transfers and the stores' reports. */
import type { LinkView } from '../placement/placementTypes.js'

/**
 * A transfer that shared the link with others looks slow, so the fastest of the
 * last few is taken for the link's speed. A link that has really slowed down
 * shows in all of them.
 */
const SAMPLES_KEPT = 6

interface LinkState {
  configuredBytesPerMs: number
  /** Speeds of the last transfers, newest last. */
  samples: number[]
  reportedBacklog: number
  reportedAt: number
  ownPendingBytes: number
  transferredAt: number
}

/** After this time without a transfer one slow sample is forgotten, so that a mended link is tried again, in milliseconds. */
const RECOVERY_MS = 1000

/** All links known to one entry host. */
export class LinkTable {
  readonly #links = new Map<string, LinkState>()

  /**
   * @param store - store name
   * @param bytesPerSecond - configured speed of its link
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
      ownPendingBytes: 0,
      transferredAt: Number.NEGATIVE_INFINITY
    })
  }

  /** @param stores - stores still configured; all others are forgotten */
  retain (stores: ReadonlySet<string>): void {
    for (const store of this.#links.keys()) {
      if (!stores.has(store)) this.#links.delete(store)
    }
  }

  /**
   * @param store - store name
   * @param backlogBytes - bytes it has queued on its link
   * @param now - monotonic milliseconds
   */
  observeBacklog (store: string, backlogBytes: number, now: number): void {
    const link = this.#links.get(store)
    if (link === undefined) return
    link.reportedBacklog = backlogBytes
    link.reportedAt = now
    link.ownPendingBytes = 0
  }

  /**
   * @param store - store name
   * @param bytes - size of a transfer that starts now
   */
  recordTransferStart (store: string, bytes: number): void {
    const link = this.#links.get(store)
    if (link !== undefined) link.ownPendingBytes += bytes
  }

  /**
   * Learns from a finished transfer.
   *
   * @param store - store name
   * @param bytes - its size, with what was queued before it
   * @param elapsedMs - from start to end
   * @param now - monotonic milliseconds
   */
  recordTransferEnd (store: string, bytes: number, elapsedMs: number, now: number): void {
    const link = this.#links.get(store)
    if (link === undefined) return
    link.samples.push(Math.min(bytes / Math.max(1, elapsedMs), link.configuredBytesPerMs))
    if (link.samples.length > SAMPLES_KEPT) link.samples.shift()
    link.transferredAt = now
  }

  /**
   * @param now - monotonic milliseconds
   * @returns present view of all links
   */
  views (now: number): Map<string, LinkView> {
    const views = new Map<string, LinkView>()
    for (const [store, link] of this.#links) {
      if (now - link.transferredAt > RECOVERY_MS) {
        link.samples.shift()
        link.transferredAt = now
      }
      const bytesPerMs = speedOf(link)
      const drained = Math.max(0, now - link.reportedAt) * bytesPerMs
      const reported = Math.max(0, link.reportedBacklog - drained)
      views.set(store, { bytesPerMs, backlogBytes: reported + link.ownPendingBytes })
    }
    return views
  }
}

/** Until enough transfers have been seen the configured speed is believed. */
function speedOf ({ samples, configuredBytesPerMs }: LinkState): number {
  return samples.length < SAMPLES_KEPT ? configuredBytesPerMs : Math.max(...samples)
}
