/** Tells when the memory of a process crosses shares of its limit. */

/** Shares of the limit that are looked at, rising. */
const MARKS = [0.7, 0.8, 0.9, 0.95] as const

/** How far below a mark the memory has to fall until the mark counts as left, as a share of the limit. */
const HYSTERESIS_SHARE = 0.04

/** A mark that was crossed. */
export interface CrossedMark {
  readonly share: number
  readonly isAbove: boolean
}

/** The marks of one process. */
export class MemoryMarks {
  #passed = 0

  /** @param limitBytes - memory of the host, in bytes */
  constructor (private readonly limitBytes: number) {}

  /** Whether the memory is above the lowest mark. */
  get isAboveAny (): boolean { return this.#passed > 0 }

  /**
   * @param residentBytes - resident memory now, in bytes
   * @returns the highest mark that was passed since the last call, or the lowest one that was left; undefined if there is none
   */
  observe (residentBytes: number): CrossedMark | undefined {
    const before = this.#passed
    const share = residentBytes / this.limitBytes
    while (share >= (MARKS[this.#passed] ?? Number.POSITIVE_INFINITY)) this.#passed += 1
    while (this.#passed > 0 && share < (MARKS[this.#passed - 1] ?? 0) - HYSTERESIS_SHARE) this.#passed -= 1
    if (this.#passed > before) return { share: MARKS[this.#passed - 1] ?? 0, isAbove: true }
    return this.#passed < before ? { share: MARKS[this.#passed] ?? 0, isAbove: false } : undefined
  }
}
