/** Finds out whether endpoints to which connections broke have ended, with few questions. */
import type { CrashQuestion } from './CrashDetector.js'

/** Pause before an endpoint whose state could not be told is asked again, in milliseconds. */
const ASK_AGAIN_MS = 500

/** Questions to one endpoint; after that only what is known without asking tells. */
const MOST_QUESTIONS = 6

interface Inquiry {
  readonly questions: number
  readonly askedAt: number
  isUnderWay: boolean
}

/** Asks each endpoint until the answer is certain. */
export class CrashCheck {
  readonly #inquiries = new Map<string, Inquiry>()

  /** @param onAnswer - told once of each endpoint whose state is certain */
  constructor (private readonly onAnswer: (endpoint: string, hasCrashed: boolean) => void) {}

  /**
   * @param name - incarnation
   * @param question - to it
   * @param now - monotonic milliseconds
   */
  ask (name: string, question: CrashQuestion, now: number): void {
    const { questions, isUnderWay, askedAt } = this.#inquiries.get(name) ?? { questions: 0, isUnderWay: false, askedAt: Number.NEGATIVE_INFINITY }
    if (isUnderWay || questions >= MOST_QUESTIONS || now - askedAt < ASK_AGAIN_MS) return
    this.#inquiries.set(name, { questions: questions + 1, isUnderWay: true, askedAt: now })
    void this.#ask(name, question)
  }

  /** @param isOfInterest - whether the state of an incarnation still matters; what is known of others goes */
  retain (isOfInterest: (name: string) => boolean): void {
    for (const [name, { isUnderWay }] of this.#inquiries) if (!isUnderWay && !isOfInterest(name)) this.#inquiries.delete(name)
  }

  async #ask (name: string, question: CrashQuestion): Promise<void> {
    const hasCrashed = await question()
    const inquiry = this.#inquiries.get(name)
    if (inquiry !== undefined) inquiry.isUnderWay = false
    if (hasCrashed === undefined) return
    this.#inquiries.delete(name)
    this.onAnswer(name, hasCrashed)
  }
}
