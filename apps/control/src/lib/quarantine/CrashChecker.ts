/** Finds out whether endpoints to which connections broke have ended, with few questions. */
import type { CrashProbe } from './CrashDetector.js'

/** Pause before an endpoint whose state could not be told is asked again, in milliseconds. */
const RETRY_DELAY_MS = 500

/** Questions to one endpoint; after that only what is known without asking tells. */
const MAX_ATTEMPTS = 6

interface ProbeState {
  readonly attempts: number
  readonly askedAt: number
  isPending: boolean
}

/** Asks each endpoint until the answer is certain. */
export class CrashChecker {
  readonly #probes = new Map<string, ProbeState>()

  /** @param onAnswer - told once of each endpoint whose state is certain */
  constructor (private readonly onAnswer: (endpoint: string, hasCrashed: boolean) => void) {}

  /**
   * @param name - incarnation
   * @param question - to it
   * @param now - monotonic milliseconds
   */
  ask (name: string, question: CrashProbe, now: number): void {
    const { attempts: questions, isPending: isUnderWay, askedAt } = this.#probes.get(name) ?? { attempts: 0, isPending: false, askedAt: Number.NEGATIVE_INFINITY }
    if (isUnderWay || questions >= MAX_ATTEMPTS || now - askedAt < RETRY_DELAY_MS) return
    this.#probes.set(name, { attempts: questions + 1, isPending: true, askedAt: now })
    void this.#probe(name, question)
  }

  /** @param isRelevant - whether the state of an incarnation still matters; what is known of others goes */
  retain (isRelevant: (name: string) => boolean): void {
    for (const [name, { isPending: isUnderWay }] of this.#probes) if (!isUnderWay && !isRelevant(name)) this.#probes.delete(name)
  }

  async #probe (name: string, question: CrashProbe): Promise<void> {
    const hasCrashed = await question()
    const state = this.#probes.get(name)
    if (state !== undefined) state.isPending = false
    if (hasCrashed === undefined) return
    this.#probes.delete(name)
    this.onAnswer(name, hasCrashed)
  }
}
