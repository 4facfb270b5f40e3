/** Limits the memory of processes from outside, as a platform does that kills a process above its memory. */
import { readFileSync } from 'node:fs'
import type { SlotRole } from './faultPlan.js'
import type { SoakCluster } from './SoakCluster.js'
import type { Timeline } from './Timeline.js'

const BYTES_PER_MEGABYTE = 1_000_000
const BYTES_PER_KILOBYTE = 1024

/** Interval at which resident memory is read, in milliseconds. */
const READ_INTERVAL_MS = 50

/** Memory that processes are told, in megabytes, by role; endpoints have no limit. */
export const MEMORY_MB = { entry: 200, control: 346 } as const

/** Memory that the programs of the soak hold at rest beyond those that are deployed, which are bundled into one file each, in megabytes. */
const UNBUNDLED_MB = 14

const LIMITED_ROLES = ['entry', 'control'] as const satisfies readonly SlotRole[]

/** Kills processes that hold more than their memory, until closed. */
export class MemoryLimit {
  readonly #mostMegabytes = new Map<SlotRole, number>()
  #timer: NodeJS.Timeout | undefined

  /**
   * @param cluster - processes to watch
   * @param timeline - told of each process that is killed
   */
  constructor (private readonly cluster: SoakCluster, private readonly timeline: Timeline) {}

  /** @returns the most that was resident in a process of each role, in megabytes */
  describe (): string {
    return LIMITED_ROLES.map(role => `${role} ${Math.round(this.#mostMegabytes.get(role) ?? 0)} MB`).join(', ')
  }

  start (): void {
    this.#timer = setInterval(() => { this.#readAll() }, READ_INTERVAL_MS)
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #readAll (): void {
    for (const role of LIMITED_ROLES) {
      for (const { current } of this.cluster.slots(role)) {
        if (current === undefined) continue
        const megabytes = residentBytes(current.process.pid) / BYTES_PER_MEGABYTE
        this.#mostMegabytes.set(role, Math.max(megabytes, this.#mostMegabytes.get(role) ?? 0))
        if (megabytes <= MEMORY_MB[role] + UNBUNDLED_MB) continue
        // The end of the process breaks a promise of its own, and what it cuts off is a consequence.
        this.timeline.record(current.label, `is above its memory: ${Math.round(megabytes)} MB`, true)
        current.process.signal('SIGKILL')
      }
    }
  }
}

/** Returns 0 if the process has ended. */
function residentBytes (pid: number): number {
  try {
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) * BYTES_PER_KILOBYTE
  } catch {
    return 0
  }
}
