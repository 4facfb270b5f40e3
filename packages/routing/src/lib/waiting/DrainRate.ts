/**
 * Measures how fast the requests that wait for a service are served.
 *
 * Only the time in which requests are left waiting is counted: with an empty queue, the rate of grants is that of
 * arrivals, and says nothing about what the service can do. Requests that don't wait use a part of what is freed, so
 * the rate at which room is freed would be too high.
 */

/** Time constants of the averages, in milliseconds. The longer one bridges gaps where few large requests run. */
const FAST_MS = 1000
const SLOW_MS = 4000

/** Measured time from which the rate is used, in milliseconds. Load reports are up to a quarter of this late. */
const MIN_MEASURED_MS = 1000

/** Exponentially weighted amount and time. */
class DecayingRate {
  #amount = 0
  #timeMs = 0

  constructor (private readonly constantMs: number) {}

  get perMs (): number { return this.#timeMs === 0 ? 0 : this.#amount / this.#timeMs }

  advance (elapsedMs: number): void {
    const kept = Math.exp(-elapsedMs / this.constantMs)
    this.#amount *= kept
    this.#timeMs = this.#timeMs * kept + elapsedMs
  }

  add (amount: number): void {
    this.#amount = Math.max(0, this.#amount + amount)
  }
}

/** Rate at which a service takes waiting requests, in tokens or calls per millisecond. */
export class DrainRate {
  #fast = new DecayingRate(FAST_MS)
  #slow = new DecayingRate(SLOW_MS)
  #measuredMs = 0
  #updatedAt: number | undefined

  /**
   * @param now - monotonic milliseconds
   * @param isBacklogged - whether requests have waited since the last call
   */
  advance (now: number, isBacklogged: boolean): void {
    const elapsedMs = this.#updatedAt === undefined ? 0 : now - this.#updatedAt
    if (this.#updatedAt !== undefined) this.#updatedAt = now
    if (!isBacklogged || elapsedMs <= 0) return
    this.#measuredMs += elapsedMs
    this.#fast.advance(elapsedMs)
    this.#slow.advance(elapsedMs)
  }

  /**
   * Records a grant. The measurement starts with the first one, since load reports show freed room only after a delay.
   *
   * @param amount - tokens or calls; negative if a grant is returned
   * @param now - monotonic milliseconds
   */
  addGranted (amount: number, now: number): void {
    if (this.#updatedAt === undefined) {
      this.#updatedAt = now
      return
    }
    this.#fast.add(amount)
    this.#slow.add(amount)
  }

  /** Tokens or calls per millisecond, the higher of the averages; undefined until enough time is measured. */
  get perMs (): number | undefined {
    if (this.#measuredMs < MIN_MEASURED_MS) return undefined
    const rate = Math.max(this.#fast.perMs, this.#slow.perMs)
    return rate <= 0 ? undefined : rate
  }
}
