/** Chooses entry hosts for new connections by their readiness, regardless of open connections. */
import { request } from 'undici'
import type { SeededRandom } from './SeededRandom.js'
import type { Incarnation, ProcessSlot } from './ProcessSlot.js'

/** Interval between readiness probes of a host, in milliseconds. */
const PROBE_INTERVAL_MS = 200

/** Timeout of a readiness probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 300

/** Number of consecutive failed probes after which a host is taken out of rotation. */
const UNREADY_THRESHOLD = 2

/** Probes the readiness of all hosts until closed. */
export class Balancer {
  readonly #failures = new Map<string, number>()
  #timer: NodeJS.Timeout | undefined

  /** @param slots - entry hosts */
  constructor (private readonly slots: readonly ProcessSlot[]) {}

  /** Starts the probes. */
  start (): void {
    this.#timer = setInterval(() => { for (const { current } of this.slots) void this.#probe(current) }, PROBE_INTERVAL_MS)
  }

  /** Stops the probes. */
  close (): void {
    clearInterval(this.#timer)
  }

  /** Whether all hosts are in rotation. */
  get areAllReady (): boolean {
    return this.slots.every(({ current }) => current !== undefined && this.#isReady(current))
  }

  /**
   * @param random - chooses among the candidates
   * @returns a host in rotation, or any running host if fewer than half of all hosts are in rotation, because so few could not carry the whole load
   */
  choose (random: SeededRandom): Incarnation | undefined {
    const running = this.slots.flatMap(({ current }) => current ?? [])
    const ready = running.filter(incarnation => this.#isReady(incarnation))
    const candidates = ready.length * 2 < this.slots.length ? running : ready
    return candidates.length === 0 ? undefined : random.pick(candidates)
  }

  #isReady ({ label }: Incarnation): boolean {
    return (this.#failures.get(label) ?? UNREADY_THRESHOLD) < UNREADY_THRESHOLD
  }

  async #probe (incarnation: Incarnation | undefined): Promise<void> {
    if (incarnation === undefined) return
    const { label, addresses } = incarnation
    const isReady = await isHostReady(addresses['admin'] ?? '')
    this.#failures.set(label, isReady ? 0 : (this.#failures.get(label) ?? UNREADY_THRESHOLD) + 1)
  }
}

async function isHostReady (address: string): Promise<boolean> {
  try {
    const response = await request(`http://${address}/readyz`, { signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) })
    await response.body.dump()
    return response.statusCode === 200
  } catch {
    // A host that does not answer counts as not ready.
    return false
  }
}
