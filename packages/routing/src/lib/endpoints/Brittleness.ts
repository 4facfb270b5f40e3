/** How many rejections a second an endpoint tolerates, as it states, and those that this host has caused. */

/** Rejections that are remembered. */
const MAX_REJECTIONS = 16

/** Statement of one endpoint, and rejections of this host's requests. */
export class Brittleness {
  #rejectionsPerSecond: number | undefined
  #rejectedAt: number[] = []

  /** Rejections a second that the endpoint tolerates from all hosts together; undefined while it states no bound. */
  get rejectionsPerSecond (): number | undefined { return this.#rejectionsPerSecond }

  /**
   * @param rejectionsPerSecond - what an answer states; undefined if it states nothing
   * @returns whether the statement has changed
   */
  observeAnswer (rejectionsPerSecond: number | undefined): boolean {
    const hasChanged = rejectionsPerSecond !== this.#rejectionsPerSecond
    this.#rejectionsPerSecond = rejectionsPerSecond
    return hasChanged
  }

  /** @param now - when the endpoint rejected a request of this host, in monotonic milliseconds */
  observeRejection (now: number): void {
    this.#rejectedAt = [...this.#rejectedAt.slice(1 - MAX_REJECTIONS), now]
  }

  /**
   * @param count - number of rejections, at least 1
   * @returns when the oldest of that many newest rejections came, in monotonic milliseconds; minus infinity if there were fewer
   */
  newest (count: number): number {
    return this.#rejectedAt.at(-Math.min(count, MAX_REJECTIONS)) ?? Number.NEGATIVE_INFINITY
  }
}
