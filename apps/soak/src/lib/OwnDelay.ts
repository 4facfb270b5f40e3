/** Measures how late this process handles what comes, so that it isn't taken for the lateness of others. */

/** Interval at which the delay is measured, in milliseconds. */
const INTERVAL_MS = 20

/** Measures until closed. */
export class OwnDelay {
  readonly #delays: Array<{ readonly at: number, readonly delayMs: number }> = []
  readonly #timer: NodeJS.Timeout

  constructor () {
    let expectedAt = Date.now() + INTERVAL_MS
    this.#timer = setInterval(() => {
      const at = Date.now()
      if (at > expectedAt) this.#delays.push({ at, delayMs: at - expectedAt })
      expectedAt = at + INTERVAL_MS
    }, INTERVAL_MS)
  }

  /**
   * @param from - start, in wall-clock milliseconds
   * @param until - end
   * @returns the sum of its delays in this time, in milliseconds
   */
  within (from: number, until: number): number {
    let sum = 0
    for (let index = this.#delays.length - 1; index >= 0; index -= 1) {
      const { at, delayMs } = this.#delays[index] ?? { at: 0, delayMs: 0 }
      if (at < from) break
      if (at - delayMs <= until) sum += delayMs
    }
    return sum
  }

  close (): void {
    clearInterval(this.#timer)
  }
}
