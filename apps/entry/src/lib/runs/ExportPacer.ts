/**
 * Holds exports of all hosts together to a part of each link, so that an import
 * never finds a crowd of them before it.
 *
 * Each host takes its share of that part by itself: a host counts as live until
 * its lease has ended, so the shares never add up to more than the part.
 */
import { TokenBucket } from '@eelgrassmux/policy/limits/TokenBucket'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'

/** Part of a link that exports may take. */
const EXPORT_LINK_FRACTION = 0.6

/** Size of a burst, in objects of the size asked for. */
const BURST_OBJECTS = 2

/** Pause before the bucket is looked at again, in milliseconds. */
const RETRY_INTERVAL_MS = 20

/** Paces this host's exports, one bucket for each store. */
export class ExportPacer {
  readonly #buckets = new Map<string, TokenBucket>()

  /**
   * @param clock - time
   * @param configuration - speeds of the links
   * @param liveEntries - entry hosts that may be alive
   */
  constructor (
    private readonly clock: Clock,
    private readonly configuration: () => ConfigurationIndex,
    private readonly liveEntries: () => number
  ) {}

  /**
   * Waits until this host may send so much.
   *
   * @param store - store name
   * @param bytes - size of the next object
   * @param maxWaitMs - longest wait
   * @returns false if the wait was too long
   */
  async admit (store: string, bytes: number, maxWaitMs: number): Promise<boolean> {
    const deadline = this.clock.now() + maxWaitMs
    const bytesPerMs = (this.configuration().stores.get(store)?.linkBytesPerSecond ?? 0) / 1000
    const rate = EXPORT_LINK_FRACTION * bytesPerMs / this.liveEntries()
    const bucket = this.#buckets.get(store) ?? new TokenBucket(rate, BURST_OBJECTS * bytes, this.clock.now())
    this.#buckets.set(store, bucket)
    while (this.clock.now() < deadline) {
      bucket.setRate(rate, BURST_OBJECTS * bytes, this.clock.now())
      if (bucket.tryTake(bytes, this.clock.now())) return true
      await this.clock.sleep(RETRY_INTERVAL_MS)
    }
    return false
  }
}
