/** Computes quantiles over the newest values of a figure, for figures that are looked up rarely. */

/** Number of values that are kept: enough for the 90th percentile, and a few seconds of a busy route. */
const WINDOW_SIZE = 64

/** Ring buffer of the newest values. */
export class RecentQuantile {
  readonly #values: number[] = []
  #next = 0

  /** @param value - newest value, which replaces the oldest */
  add (value: number): void {
    this.#values[this.#next] = value
    this.#next = (this.#next + 1) % WINDOW_SIZE
  }

  /**
   * @param share - share of the values that should lie at or below the result, from 0 to 1
   * @returns the quantile; 0 if there are no values
   */
  quantile (share: number): number {
    const ordered = [...this.#values].sort((one, other) => one - other)
    return ordered[Math.min(ordered.length - 1, Math.floor(ordered.length * share))] ?? 0
  }
}
