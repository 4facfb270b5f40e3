/**
 * Bounds the lines about requests, so that a busy host's log stays readable and cheap.
 * Ordinary lines may use a part only: a failure finds room also when many go well.
 */

/** Part of the lines of a second that ordinary lines may use. */
const ORDINARY_SHARE = 0.5

const SECOND_MS = 1000

/** Decides which lines are written. */
export class RequestLogLimiter {
  #secondStartedAt = Number.NEGATIVE_INFINITY
  #lines = 0
  #ordinaryLines = 0
  #unreported = 0
  #omittedCount = 0
  #timer: NodeJS.Timeout | undefined

  /**
   * @param linesPerSecond - most lines in a second
   * @param report - told how many lines were left out, within a second
   */
  constructor (private readonly linesPerSecond: number, private readonly report: (count: number) => void) {}

  /** Lines left out so far. */
  get omittedCount (): number { return this.#omittedCount }

  /**
   * @param isOrdinary - whether the line is not about a failure
   * @param now - monotonic milliseconds
   * @returns whether it may be written; if not, it is counted
   */
  admits (isOrdinary: boolean, now: number): boolean {
    if (now - this.#secondStartedAt >= SECOND_MS) {
      this.#secondStartedAt = now
      this.#lines = 0
      this.#ordinaryLines = 0
    }
    if (this.#lines >= this.linesPerSecond || (isOrdinary && this.#ordinaryLines >= this.linesPerSecond * ORDINARY_SHARE)) {
      this.#omit()
      return false
    }
    this.#lines += 1
    if (isOrdinary) this.#ordinaryLines += 1
    return true
  }

  /** Reports what was left out and is not reported yet; also for the end of a process. */
  reportNow (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    if (this.#unreported === 0) return
    const count = this.#unreported
    this.#unreported = 0
    this.report(count)
  }

  #omit (): void {
    this.#omittedCount += 1
    this.#unreported += 1
    this.#timer ??= setTimeout(() => { this.reportNow() }, SECOND_MS).unref()
  }
}
