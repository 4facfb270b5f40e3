/** Time on the clock that all stores share, from what each of them states. */

/** Most that two statements of the same clock differ by, in milliseconds; they arrive late by less. */
const TOLERANCE_MS = 1000

/** Follows the statements of all stores. A store whose statement contradicts the others does not change what holds for them. */
export class StoreClocks {
  /** Stated time minus this process's monotonic time, by store. */
  readonly #offsets = new Map<string, number>()
  #agreed: number | undefined

  /**
   * @param store - store name
   * @param clockMs - time that it states, in milliseconds
   * @param now - monotonic milliseconds
   */
  observe (store: string, clockMs: number, now: number): void {
    this.#offsets.set(store, clockMs - now)
    this.#agreed = this.#agree()
  }

  /** @param store - store that is no longer followed */
  forget (store: string): void {
    this.#offsets.delete(store)
    if (this.#offsets.size > 0) this.#agreed = this.#agree()
  }

  /**
   * @param now - monotonic milliseconds
   * @returns time on the stores' clock, in milliseconds; undefined until a store has stated it
   */
  clockMs (now: number): number | undefined {
    return this.#agreed === undefined ? undefined : this.#agreed + now
  }

  /** The statement that most stores agree with; among several, the one closest to what held before. */
  #agree (): number | undefined {
    const offsets = [...this.#offsets.values()]
    const supportOf = (offset: number): number => offsets.filter(other => Math.abs(other - offset) <= TOLERANCE_MS).length
    const most = Math.max(...offsets.map(supportOf))
    const before = this.#agreed
    const supported = offsets.filter(offset => supportOf(offset) === most)
    if (before === undefined) return supported[0]
    return supported.reduce((closest, offset) => Math.abs(offset - before) < Math.abs(closest - before) ? offset : closest)
  }
}
