/** Estimates how long a request will wait, from the work that goes before it and the rate at which work is taken. */
import { costOf, firstFrom, type QueueEntry } from './queueEntry.js'

/** Width of a class of times, in milliseconds, and number of classes: callers wait for some seconds. */
const CLASS_MS = 250
const CLASSES = 64

/** Part of the rate at which late requests are served while others can be on time, as far as estimates may count on it. */
const LATE_SHARE_OF_RATE = 3 / 4

/** Work that goes before the requests of one service, added up in their order. */
export class WorkAhead {
  #sum = 0
  /** Work of all waiting entries by the time from which it is first whatever its urgency and customer. */
  readonly #classes = new Float64Array(CLASSES)

  /**
   * @param now - monotonic milliseconds
   * @param ratePerMs - tokens or calls that are taken per millisecond; undefined if unknown
   * @param customers - customers with waiting requests
   * @param entries - all entries of the service
   */
  constructor (private readonly now: number, private readonly ratePerMs: number | undefined, private readonly customers: number, entries: readonly QueueEntry[]) {
    if (ratePerMs === undefined) return
    for (const entry of entries) {
      const index = this.#classOf(entry)
      if (entry.grantedAt === undefined) this.#classes[index] = (this.#classes[index] ?? 0) + costOf(entry.request)
    }
  }

  /** @param entry - entry that is left waiting, before all that are added or estimated later */
  add (entry: QueueEntry): void {
    this.#sum += costOf(entry.request)
  }

  /**
   * Estimates the wait of an entry. It waits for all that is ahead of it. If that makes it late, those that can still be
   * on time go before it, also those that arrive later; it is then served once most of its caller's patience has passed,
   * after all entries that are first no later than it. And it waits for the requests of its customer that are ahead, at
   * the rate at which they are taken if that is more than an equal share: requests of others that arrive later go before
   * those of a customer that asks for more than its share.
   *
   * @param entry - the next entry in order
   * @returns milliseconds; 0 if the rate is unknown
   */
  waitMs (entry: QueueEntry): number {
    if (this.ratePerMs === undefined) return 0
    const { left, rate } = entry.account
    const inOrderMs = this.#sum / this.ratePerMs
    const equalShare = this.ratePerMs / Math.max(1, this.customers)
    const byCustomerMs = rate.perMs === undefined ? 0 : left / Math.max(rate.perMs, equalShare)
    return Math.max(byCustomerMs, this.#isOnTimeAfter(entry, inOrderMs) ? inOrderMs : this.#lateWaitMs(entry, this.ratePerMs))
  }

  #isOnTimeAfter ({ arrivedAt, request: { objectiveMs, workMs } }: QueueEntry, waitMs: number): boolean {
    return this.now + waitMs + workMs <= arrivedAt + objectiveMs
  }

  #lateWaitMs (entry: QueueEntry, ratePerMs: number): number {
    const untilFirstMs = firstFrom(entry) - this.now
    const firstBeforeMs = (this.#firstUntil(entry) - costOf(entry.request)) / ratePerMs
    // Requests that are first are served from then on, one after the other.
    return Math.max(0, untilFirstMs) + Math.max(0, firstBeforeMs - Math.max(0, untilFirstMs) * LATE_SHARE_OF_RATE)
  }

  #firstUntil (entry: QueueEntry): number {
    let sum = 0
    for (let index = this.#classOf(entry); index >= 0; index -= 1) sum += this.#classes[index] ?? 0
    return sum
  }

  #classOf (entry: QueueEntry): number {
    return Math.min(CLASSES - 1, Math.max(0, Math.floor((firstFrom(entry) - this.now) / CLASS_MS)))
  }
}
