/**
 * Limits the exports of all hosts together to a fraction of each link's bandwidth,
 * so that imports never queue behind many exports.
 *
 * Each host computes its share of that fraction locally. A host counts as live until
 * its lease has ended, so the shares never add up to more than the fraction.
 */
import { TokenBucket } from '@eelgrassmux/policy/limits/TokenBucket'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'

/** Fraction of a link's bandwidth available to exports. */
const EXPORT_LINK_FRACTION = 0.6

/** Burst size, in objects of the requested size. */
const BURST_OBJECTS = 2

/** Interval between attempts to take tokens from the bucket, in milliseconds. */
const RETRY_INTERVAL_MS = 20

/** Paces this host's exports with one token bucket per store. */
export class ExportPacer {
  readonly #buckets = new Map<string, TokenBucket>()

  /**
   * @param clock - time source
   * @param configuration - returns the configuration in force, with the link speeds
   * @param liveEntries - returns the number of entry hosts that may be alive
   */
  constructor (
    private readonly clock: Clock,
    private readonly configuration: () => ConfigurationIndex,
    private readonly liveEntries: () => number
  ) {}

  /**
   * Waits until this host may send an object of the given size.
   *
   * @param store - store name
   * @param bytes - size of the object
   * @param maxWaitMs - longest wait
   * @returns false if the longest wait has passed
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
