/** Chooses entry hosts for new connections by their readiness; knows nothing of connections that are open. */
import { request } from 'undici'
import type { Draws } from './SeededRandom.js'
import type { Incarnation, Slot } from './ProcessSlot.js'

/** Interval between questions, in milliseconds. */
const LOOK_MS = 200

/** Longest wait for an answer, in milliseconds. */
const TIMEOUT_MS = 300

/** Questions in a row without a yes that take a host out. */
const MISSES = 2

/** Asks all hosts for readiness until closed. */
export class Balancer {
  readonly #misses = new Map<string, number>()
  #timer: NodeJS.Timeout | undefined

  /** @param slots - entry hosts */
  constructor (private readonly slots: readonly Slot[]) {}

  /** Starts to ask. */
  start (): void {
    this.#timer = setInterval(() => { for (const { present } of this.slots) void this.#look(present) }, LOOK_MS)
  }

  /** Stops asking. */
  close (): void {
    clearInterval(this.#timer)
  }

  /** Whether all hosts are in rotation. */
  get isComplete (): boolean {
    return this.slots.every(({ present }) => present !== undefined && this.#isReady(present))
  }

  /**
   * @param draws - decides among equals
   * @returns a host in rotation; with less than half of them in rotation any that runs, because a few would not bear all
   */
  choose (draws: Draws): Incarnation | undefined {
    const running = this.slots.flatMap(({ present }) => present ?? [])
    const ready = running.filter(incarnation => this.#isReady(incarnation))
    const candidates = ready.length * 2 < this.slots.length ? running : ready
    return candidates.length === 0 ? undefined : draws.pick(candidates)
  }

  #isReady ({ label }: Incarnation): boolean {
    return (this.#misses.get(label) ?? MISSES) < MISSES
  }

  async #look (incarnation: Incarnation | undefined): Promise<void> {
    if (incarnation === undefined) return
    const { label, addresses } = incarnation
    const isReady = await isHostReady(addresses['admin'] ?? '')
    this.#misses.set(label, isReady ? 0 : (this.#misses.get(label) ?? MISSES) + 1)
  }
}

async function isHostReady (address: string): Promise<boolean> {
  try {
    const response = await request(`http://${address}/readyz`, { signal: AbortSignal.timeout(TIMEOUT_MS) })
    await response.body.dump()
    return response.statusCode === 200
  } catch {
    // A host that can't be asked is as good as one that says no.
    return false
  }
}
