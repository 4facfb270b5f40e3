/** Times at which one host sent requests to one endpoint. */

/** Age from which sends are dropped, in milliseconds; it exceeds every window in which they are counted. */
const RETENTION_MS = 5000

/** Recent send times, in ascending order. */
export class SendTimes {
  #times: number[] = []

  /** @param now - monotonic milliseconds of a send */
  add (now: number): void {
    const firstKept = this.#times.findIndex(at => at > now - RETENTION_MS)
    if (firstKept !== 0) this.#times.splice(0, firstKept < 0 ? this.#times.length : firstKept)
    this.#times.push(now)
  }

  /**
   * @param since - monotonic milliseconds
   * @returns number of sends since then
   */
  countSince (since: number): number {
    let count = 0
    while (count < this.#times.length && (this.#times[this.#times.length - 1 - count] ?? 0) > since) count += 1
    return count
  }

  /**
   * @param number - rank of the send, 1 for the newest
   * @returns time of the send; minus infinity if there were fewer recent sends
   */
  newest (number: number): number {
    return this.#times[this.#times.length - number] ?? Number.NEGATIVE_INFINITY
  }
}
