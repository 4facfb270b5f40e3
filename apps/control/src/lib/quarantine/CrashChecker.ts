/** Determines with few probes whether endpoints have crashed after their connections broke. */
import type { CrashProbe } from './CrashDetector.js'

/** Delay before an endpoint whose state could not be determined is probed again, in milliseconds. */
const RETRY_DELAY_MS = 500

/** Maximum number of probes of one endpoint. After that, only a detector that needs no probe can settle its state. */
const MAX_ATTEMPTS = 6

interface ProbeState {
  readonly attempts: number
  readonly askedAt: number
  isPending: boolean
}

/** Probes each endpoint until its state is certain. */
export class CrashChecker {
  readonly #probes = new Map<string, ProbeState>()

  /** @param onAnswer - called once for each endpoint whose state has become certain */
  constructor (private readonly onAnswer: (endpoint: string, hasCrashed: boolean) => void) {}

  /**
   * @param name - name of the incarnation
   * @param probe - probe of the incarnation
   * @param now - monotonic milliseconds
   */
  ask (name: string, probe: CrashProbe, now: number): void {
    const { attempts, isPending, askedAt } = this.#probes.get(name) ?? { attempts: 0, isPending: false, askedAt: Number.NEGATIVE_INFINITY }
    if (isPending || attempts >= MAX_ATTEMPTS || now - askedAt < RETRY_DELAY_MS) return
    this.#probes.set(name, { attempts: attempts + 1, isPending: true, askedAt: now })
    void this.#probe(name, probe)
  }

  /** @param isRelevant - returns whether the state of an incarnation is still needed; other incarnations are dropped */
  retain (isRelevant: (name: string) => boolean): void {
    for (const [name, { isPending }] of this.#probes) if (!isPending && !isRelevant(name)) this.#probes.delete(name)
  }

  async #probe (name: string, probe: CrashProbe): Promise<void> {
    const hasCrashed = await probe()
    const state = this.#probes.get(name)
    if (state !== undefined) state.isPending = false
    if (hasCrashed === undefined) return
    this.#probes.delete(name)
    this.onAnswer(name, hasCrashed)
  }
}
