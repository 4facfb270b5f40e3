/** How many entry hosts share what is bounded for all of them together. */

/**
 * Time for which a larger count is kept, in milliseconds. A control host that has just started counts only the hosts
 * that have reported to it since, and one that can't be reached counts nobody; the hosts are still there.
 */
export const COUNT_RETENTION_MS = 10_000

interface ReportedCount {
  readonly count: number
  readonly at: number
}

/** Largest count of late, so that the parts of all hosts never add up to more than the whole. */
export class LiveHostCount {
  /** Falling counts, oldest first. */
  #counts: ReportedCount[] = []

  /**
   * @param count - as a control host states it
   * @param at - monotonic milliseconds
   */
  observe (count: number, at: number): void {
    this.#counts = [...this.#counts.filter(earlier => earlier.count > count), { count, at }]
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the largest count of late, or the last one if there was none of late; 1 before any was stated
   */
  at (now: number): number {
    while (this.#counts.length > 1 && now - (this.#counts[0]?.at ?? now) > COUNT_RETENTION_MS) this.#counts.shift()
    return Math.max(1, this.#counts[0]?.count ?? 1)
  }
}
