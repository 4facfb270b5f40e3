/** When one host sent requests to one endpoint. */

/** Age from which sends are forgotten, in milliseconds: more than any window in which they are counted. */
const FORGET_MS = 5000

/** Times of late, in order. */
export class SendTimes {
  #times: number[] = []

  /** @param now - monotonic milliseconds of a send */
  add (now: number): void {
    const kept = this.#times.findIndex(at => at > now - FORGET_MS)
    if (kept !== 0) this.#times.splice(0, kept < 0 ? this.#times.length : kept)
    this.#times.push(now)
  }

  /**
   * @param since - monotonic milliseconds
   * @returns sends since then
   */
  countSince (since: number): number {
    let count = 0
    while (count < this.#times.length && (this.#times[this.#times.length - 1 - count] ?? 0) > since) count += 1
    return count
  }

  /**
   * @param number - 1 for the newest
   * @returns its time; minus infinity if there were not as many of late
   */
  newest (number: number): number {
    return this.#times[this.#times.length - number] ?? Number.NEGATIVE_INFINITY
  }
}
