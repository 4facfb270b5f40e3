/** Number of entry hosts that share a limit which applies to all of them together. */

/**
 * How long a larger count is kept, in milliseconds. A control host that has just started counts only the hosts that
 * have reported to it since, and an unreachable one reports no count at all, although the entry hosts still exist.
 */
export const COUNT_RETENTION_MS = 10_000

interface ReportedCount {
  readonly count: number
  readonly at: number
}

/** Largest recent count, so that the shares of all hosts never add up to more than the limit. */
export class LiveHostCount {
  /** Recent counts in decreasing order, oldest first. */
  #counts: ReportedCount[] = []

  /**
   * @param count - count reported by a control host
   * @param at - monotonic milliseconds
   */
  observe (count: number, at: number): void {
    this.#counts = [...this.#counts.filter(earlier => earlier.count > count), { count, at }]
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the largest recent count, or the last one if none is recent; 1 before the first report
   */
  at (now: number): number {
    while (this.#counts.length > 1 && now - (this.#counts[0]?.at ?? now) > COUNT_RETENTION_MS) this.#counts.shift()
    return Math.max(1, this.#counts[0]?.count ?? 1)
  }
}
