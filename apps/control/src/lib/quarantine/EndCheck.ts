/** Finds out whether endpoints to which connections broke have ended, with few questions. */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { ReplicatedService } from '@eelgrassmux/schema/site/siteSchema'
import type { EndpointProbe } from '../load/LoadBoardTask.js'

/** Pause before an endpoint whose state could not be told is asked again, in milliseconds. */
const ASK_AGAIN_MS = 500

/** Questions to one endpoint; after that the list alone tells. */
const MOST_QUESTIONS = 6

interface Inquiry {
  questions: number
  isUnderWay: boolean
  askedAt: number
}

/** Asks each endpoint until the answer is certain. */
export class EndCheck {
  readonly #inquiries = new Map<string, Inquiry>()

  /**
   * @param probe - asks; absent where endpoints are not asked
   * @param onAnswer - told once of each endpoint whose state is certain
   */
  constructor (private readonly probe: EndpointProbe | undefined, private readonly onAnswer: (endpoint: string, hasEnded: boolean) => void) {}

  /**
   * @param name - incarnation
   * @param endpoint - as listed
   * @param service - that it belongs to
   * @param now - monotonic milliseconds
   */
  ask (name: string, endpoint: ListedEndpoint, service: ReplicatedService, now: number): void {
    const inquiry = this.#inquiries.get(name) ?? { questions: 0, isUnderWay: false, askedAt: Number.NEGATIVE_INFINITY }
    if (this.probe === undefined || inquiry.isUnderWay || inquiry.questions >= MOST_QUESTIONS || now - inquiry.askedAt < ASK_AGAIN_MS) return
    this.#inquiries.set(name, { questions: inquiry.questions + 1, isUnderWay: true, askedAt: now })
    void this.#ask(name, this.probe, endpoint, service)
  }

  /** @param isOfInterest - whether the state of an incarnation still matters; what is known of others goes */
  retain (isOfInterest: (name: string) => boolean): void {
    for (const [name, { isUnderWay }] of this.#inquiries) if (!isUnderWay && !isOfInterest(name)) this.#inquiries.delete(name)
  }

  async #ask (name: string, probe: EndpointProbe, endpoint: ListedEndpoint, service: ReplicatedService): Promise<void> {
    const hasEnded = await probe.hasEnded(endpoint, service)
    const inquiry = this.#inquiries.get(name)
    if (inquiry !== undefined) inquiry.isUnderWay = false
    // One that may start again under its id would answer for its next incarnation: only the list tells.
    if (hasEnded === undefined || (!hasEnded && endpoint.startedAtMs !== undefined)) return
    this.#inquiries.delete(name)
    this.onAnswer(name, hasEnded)
  }
}
