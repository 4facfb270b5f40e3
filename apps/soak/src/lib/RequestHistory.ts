/** All that callers and endpoints have seen, and what it breaks. */
import type { EndpointBreak, RejectionLine, RunLine } from './standinProtocol.js'
import type { SentRequest, Outcome } from './observations.js'
import type { Timeline } from './Timeline.js'

/** Promises that the soak checks. */
export const GUARANTEES = [
  'at-most-once', 'not-run-is-true', 'whole-answers', 'events-in-order', 'nothing-is-cut', 'customers-apart', 'one-weight-version',
  'configuration-never-reverts', 'ends-when-told', 'recovers', 'poison-requests-stop', 'bystanders-are-served',
  'pauses-are-kept', 'rates-are-kept', 'leaving-is-heeded', 'evacuations-hold', 'cold-rates-are-kept'
] as const
export type GuaranteeName = typeof GUARANTEES[number]

/** A broken promise. */
export interface Violation {
  readonly guarantee: GuaranteeName
  readonly detail: string
  readonly at: number
  /** Incarnations that had to do with it. */
  readonly processes: readonly string[]
  /** What the endpoint was asked to do wrong, in a run that breaks promises on purpose. */
  readonly provokedBy: EndpointBreak | undefined
}

/** What a check may look up. */
export interface HistoryView {
  readonly timeline: Timeline
  request (requestId: string): SentRequest | undefined
  outcome (requestId: string): Outcome | undefined
  runs (requestId: string): readonly RunLine[]
}

/** One promise about requests; both methods return what is wrong, if anything is. */
export interface RequestCheck {
  readonly guarantee: GuaranteeName
  /** Told of each run as it begins. */
  onRun? (run: RunLine, view: HistoryView): string | undefined
  /** Told of each rejection that asks for a pause. */
  onRejection? (rejection: RejectionLine, view: HistoryView): string | undefined
  /** Told of each end, a moment later, when endpoints have said what they ran. */
  onOutcome? (outcome: Outcome, view: HistoryView): string | undefined
}

/** Time after which endpoints have said what they ran for a request that has ended, in milliseconds. */
const SETTLE_DELAY_MS = 1000

/** Takes observations and asks the checks. */
export class RequestHistory implements HistoryView {
  readonly #requests = new Map<string, SentRequest>()
  readonly #outcomes = new Map<string, Outcome>()
  readonly #runs = new Map<string, RunLine[]>()
  readonly #settling = new Map<string, NodeJS.Timeout>()
  readonly violations: Violation[] = []

  /**
   * @param timeline - what was done to the processes
   * @param checks - promises about requests
   */
  constructor (readonly timeline: Timeline, private readonly checks: readonly RequestCheck[]) {}

  get requestCount (): number { return this.#requests.size }
  get outcomes (): Iterable<Outcome> { return this.#outcomes.values() }

  request (requestId: string): SentRequest | undefined { return this.#requests.get(requestId) }
  outcome (requestId: string): Outcome | undefined { return this.#outcomes.get(requestId) }
  runs (requestId: string): readonly RunLine[] { return this.#runs.get(requestId) ?? [] }

  /** @param request - about to be sent */
  recordRequest (request: SentRequest): void {
    this.#requests.set(request.id, request)
  }

  /** @param run - began at an endpoint */
  recordRun (run: RunLine): void {
    this.#runs.set(run.requestId, [...this.runs(run.requestId), run])
    for (const check of this.checks) {
      const detail = check.onRun?.(run, this)
      if (detail !== undefined) this.#recordRequestViolation(check.guarantee, run.requestId, detail)
    }
  }

  /** @param rejection - of an endpoint that asks for a pause */
  recordRejection (rejection: RejectionLine): void {
    for (const check of this.checks) {
      const detail = check.onRejection?.(rejection, this)
      if (detail !== undefined) this.#recordRequestViolation(check.guarantee, rejection.requestId, detail)
    }
  }

  /** @param outcome - a request's end */
  recordOutcome (outcome: Outcome): void {
    const { id } = outcome.request
    this.#outcomes.set(id, outcome)
    this.#settling.set(id, setTimeout(() => { this.#settle(outcome) }, SETTLE_DELAY_MS))
  }

  /** Asks the checks about all that has ended, at once. */
  settleAll (): void {
    for (const id of [...this.#settling.keys()]) {
      const outcome = this.#outcomes.get(id)
      if (outcome !== undefined) this.#settle(outcome)
    }
  }

  /**
   * @param promise - which one is broken
   * @param detail - how
   * @param processes - incarnations that had to do with it
   * @param provokedBy - what the endpoint was asked to do wrong
   */
  recordViolation (guarantee: GuaranteeName, detail: string, processes: readonly string[], provokedBy?: EndpointBreak): void {
    this.violations.push({ guarantee, detail, at: Date.now(), processes, provokedBy })
  }

  #recordRequestViolation (guarantee: GuaranteeName, requestId: string, detail: string): void {
    this.recordViolation(guarantee, `${requestId}: ${detail}`, this.#processesOf(requestId), this.request(requestId)?.work.fault)
  }

  #settle (outcome: Outcome): void {
    const { id } = outcome.request
    clearTimeout(this.#settling.get(id))
    this.#settling.delete(id)
    for (const check of this.checks) {
      const detail = check.onOutcome?.(outcome, this)
      if (detail !== undefined) this.#recordRequestViolation(check.guarantee, id, detail)
    }
  }

  #processesOf (requestId: string): string[] {
    const host = this.request(requestId)?.host
    return [...host === undefined ? [] : [host], ...new Set(this.runs(requestId).map(run => run.endpoint))]
  }
}
