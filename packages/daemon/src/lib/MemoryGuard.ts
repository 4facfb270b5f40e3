/** Watches the memory of a process against that of its host: logs it, frees what it can, and says when to shed. */
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { MemoryMarks } from './MemoryMarks.js'
import type { HeldParts, MemoryBreakdown } from './ProcessMemory.js'

/** Interval between readings while memory is far from the limit, in milliseconds; a reading wakes the process. */
const CALM_INTERVAL_MS = 500

/** Interval between readings above the lowest mark, in milliseconds. */
const NEAR_INTERVAL_MS = 50

/** Share of the limit from which garbage is collected. */
const COLLECT_SHARE = 0.8

/** Least time between two collections, in milliseconds: each stops the process for tens of milliseconds. */
const COLLECT_INTERVAL_MS = 3000

/** Time after which garbage is collected again while the process sheds, in milliseconds, so that shedding ends once there is little left. */
const SHEDDING_COLLECT_INTERVAL_MS = 30_000

/** Growth of the heap and of what it owns outside since the last collection from which another is worth it, as a share of the limit. */
const WORTHWHILE_SHARE = 0.05

/** Shares of the limit at which shedding begins and ends. */
const SHED_SHARE = 0.9
const ADMIT_SHARE = 0.86

/** What the guard needs of its process. */
export interface GuardedProcess {
  /** Resident memory, in bytes. */
  residentBytes (): number
  /** What the process holds, garbage included. */
  breakdown (): MemoryBreakdown
  /** What the program counts of its own. */
  held (): HeldParts
  /** Collects garbage. */
  collect (): void
  /** Monotonic milliseconds. */
  now (): number
}

/** Says whether a process is close to its limit. */
export interface MemoryLevel {
  /** Whether work that takes memory has to be refused, since the process is close to being killed. */
  readonly isShedding: boolean
}

/** Level of a process that nobody watches. */
export const AMPLE_MEMORY: MemoryLevel = { isShedding: false }

/** Watches one process. */
export class MemoryGuard implements MemoryLevel {
  readonly #marks: MemoryMarks
  #timer: NodeJS.Timeout | undefined
  #collectedAt = Number.NEGATIVE_INFINITY
  /** Heap and external memory that the last collection left, in bytes. */
  #leftBytes = 0
  #collections = 0
  #isShedding = false

  /**
   * @param limitBytes - memory of the host, in bytes; 0 if it is not known: then nothing is collected, shed or logged
   * @param guarded - process to watch
   * @param telemetry - log and metrics
   */
  constructor (private readonly limitBytes: number, private readonly guarded: GuardedProcess, private readonly telemetry: Telemetry) {
    this.#marks = new MemoryMarks(limitBytes)
    telemetry.gauge('memory_collections', 'Collections of garbage because memory was close to its limit', () => this.#collections)
    telemetry.gauge('memory_shedding', '1 while new work that takes memory is refused', () => this.#isShedding ? 1 : 0)
  }

  get isShedding (): boolean { return this.#isShedding }

  /** Starts watching. */
  start (): void {
    if (this.limitBytes === 0) return
    this.#timer = setTimeout(() => {
      this.check()
      this.start()
    }, this.#marks.isAboveAny ? NEAR_INTERVAL_MS : CALM_INTERVAL_MS).unref()
  }

  /** Stops watching. */
  stop (): void {
    clearTimeout(this.#timer)
  }

  /** Reads the memory once, and acts on it. */
  check (): void {
    let resident = this.guarded.residentBytes()
    this.#log(resident)
    if (resident >= this.limitBytes * COLLECT_SHARE && this.#collectIfWorthwhile()) {
      resident = this.guarded.residentBytes()
      this.#log(resident)
    }
    this.#isShedding = resident >= this.limitBytes * (this.#isShedding ? ADMIT_SHARE : SHED_SHARE)
  }

  #log (residentBytes: number): void {
    const crossed = this.#marks.observe(residentBytes)
    if (crossed === undefined) return
    this.telemetry.logStateChange('memory', { ...crossed, limitBytes: this.limitBytes, ...this.guarded.breakdown(), ...this.guarded.held() })
  }

  /** @returns whether garbage was collected */
  #collectIfWorthwhile (): boolean {
    const sinceMs = this.guarded.now() - this.#collectedAt
    if (sinceMs < COLLECT_INTERVAL_MS) return false
    const isDue = this.#isShedding && sinceMs >= SHEDDING_COLLECT_INTERVAL_MS
    if (!isDue && ownedBytes(this.guarded.breakdown()) - this.#leftBytes < this.limitBytes * WORTHWHILE_SHARE) return false
    this.guarded.collect()
    this.#collections += 1
    this.#collectedAt = this.guarded.now()
    this.#leftBytes = ownedBytes(this.guarded.breakdown())
    return true
  }
}

/** The heap that is committed, and what its objects own outside. */
function ownedBytes ({ heapBytes, externalBytes }: MemoryBreakdown): number {
  return heapBytes + externalBytes
}
