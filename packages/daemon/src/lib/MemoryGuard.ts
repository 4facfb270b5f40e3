/** Watches the memory of a process against that of its host. */
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { MemoryMarks } from './MemoryMarks.js'
import { readMemoryBreakdown, type HeldParts } from './ProcessMemory.js'

/** Interval between readings while memory is far from the limit, in milliseconds; a reading wakes the process. */
const CALM_INTERVAL_MS = 500

/** Interval between readings above the lowest mark, in milliseconds. */
const NEAR_INTERVAL_MS = 50

/** What the guard needs of its process. */
export interface GuardedProcess {
  /** Resident memory, in bytes. */
  residentBytes (): number
  /** What the program counts of its own. */
  held (): HeldParts
}

/** Watches one process. */
export class MemoryGuard {
  readonly #marks: MemoryMarks
  #timer: NodeJS.Timeout | undefined

  /**
   * @param limitBytes - memory of the host, in bytes
   * @param guarded - process to watch
   * @param telemetry - log
   */
  constructor (private readonly limitBytes: number, private readonly guarded: GuardedProcess, private readonly telemetry: Telemetry) {
    this.#marks = new MemoryMarks(limitBytes)
  }

  /** Begins to watch. */
  start (): void {
    this.#timer = setTimeout(() => {
      this.check()
      this.start()
    }, this.#marks.isAboveAny ? NEAR_INTERVAL_MS : CALM_INTERVAL_MS).unref()
  }

  /** Ends to watch. */
  stop (): void {
    clearTimeout(this.#timer)
  }

  /** Reads the memory once. */
  check (): void {
    const crossed = this.#marks.observe(this.guarded.residentBytes())
    if (crossed === undefined) return
    this.telemetry.logStateChange('memory', { ...crossed, limitBytes: this.limitBytes, ...readMemoryBreakdown(), ...this.guarded.held() })
  }
}
