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

/** Share of the new connections that go to one host while there is a crowd at it. */
const CROWDED_SHARE = 0.8

/** Probes the readiness of all hosts until closed. */
export class Balancer {
  readonly #failures = new Map<string, number>()
  #timer: NodeJS.Timeout | undefined
  #crowded: ProcessSlot | undefined

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

  /**
   * Hands most new connections to one host, until that is over or the host is out of rotation.
   *
   * @param slot - the host; undefined to hand connections to all again
   */
  crowd (slot: ProcessSlot | undefined): void {
    this.#crowded = slot
  }

  /** Whether all hosts are in rotation. */
  get areAllReady (): boolean {
    return this.slots.every(({ current }) => current !== undefined && this.#isReady(current))
  }

  /**
   * @param random - chooses among the candidates
   * @param avoided - labels of hosts that have just closed a connection of the caller; they are chosen only if there is no other
   * @returns a host in rotation, or any running host if fewer than half of all hosts are in rotation, because so few could not carry the whole load
   */
  choose (random: SeededRandom, avoided: readonly string[] = []): Incarnation | undefined {
    const running = this.slots.flatMap(({ current }) => current ?? [])
    const ready = running.filter(incarnation => this.#isReady(incarnation))
    const candidates = ready.length * 2 < this.slots.length ? running : ready
    const others = candidates.filter(({ label }) => !avoided.includes(label))
    const usable = others.length === 0 ? candidates : others
    const crowded = usable.find(incarnation => incarnation === this.#crowded?.current)
    if (crowded !== undefined && random.between(0, 1) < CROWDED_SHARE) return crowded
    return usable.length === 0 ? undefined : random.pick(usable)
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
