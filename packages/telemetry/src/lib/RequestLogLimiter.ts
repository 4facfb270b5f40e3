/**
 * Limits the rate of log lines about requests, so that the log of a busy host stays readable and cheap.
 * Ordinary lines may use only part of the limit, so that failures are logged even if many requests succeed.
 */

/** Share of the limit that ordinary lines may use. */
const ORDINARY_SHARE = 0.5

const SECOND_MS = 1000

/** Decides which log lines about requests are written. */
export class RequestLogLimiter {
  #secondStartedAt = Number.NEGATIVE_INFINITY
  #lines = 0
  #ordinaryLines = 0
  #unreported = 0
  #omittedCount = 0
  #timer: NodeJS.Timeout | undefined

  /**
   * @param linesPerSecond - maximum number of lines per second
   * @param report - called with the number of omitted lines, at most a second after the first of them
   */
  constructor (private readonly linesPerSecond: number, private readonly report: (count: number) => void) {}

  /** Number of lines omitted so far. */
  get omittedCount (): number { return this.#omittedCount }

  /**
   * Decides whether a line may be written, and counts it as omitted if not.
   *
   * @param isOrdinary - true unless the line is about a failure
   * @param now - monotonic milliseconds
   * @returns whether the line may be written
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

  /** Reports omitted lines that are not reported yet; also called when the process ends. */
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
