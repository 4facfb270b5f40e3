/** Records what callers and endpoints observe of each request, and runs the checks on it. */
import type { ArrivalLine, EndpointBreak, RejectionLine, RunLine, TurnedAwayLine } from './standinProtocol.js'
import type { SentRequest, Outcome } from './observations.js'
import type { Timeline } from './Timeline.js'

/** Guarantees of the product that the soak checks. */
export const GUARANTEES = [
  'at-most-once', 'not-run-is-true', 'whole-answers', 'events-in-order', 'nothing-is-cut', 'customers-apart', 'one-weight-version', 'one-software-version',
  'configuration-never-reverts', 'configuration-arrives', 'ends-when-told', 'recovers', 'poison-requests-stop', 'bystanders-are-served',
  'pauses-are-kept', 'rates-are-kept', 'leaving-is-heeded', 'evacuations-hold', 'cold-rates-are-kept', 'retry-budget-is-kept', 'customers-are-served', 'cut-off-hosts-serve', 'brittle-endpoints-stand', 'endless-answers-are-closed', 'crowded-hosts-serve', 'sound-endpoints-serve', 'answers-in-time'
] as const
export type GuaranteeName = typeof GUARANTEES[number]

/** A broken guarantee. */
export interface Violation {
  readonly guarantee: GuaranteeName
  readonly detail: string
  readonly at: number
  /** Incarnations of the processes that were involved. */
  readonly processes: readonly string[]
  /** The fault that the request asked the endpoint for, in a run that breaks guarantees on purpose. */
  readonly provokedBy: EndpointBreak | undefined
}

/** Recorded observations that a check may look up. */
export interface HistoryView {
  readonly timeline: Timeline
  request (requestId: string): SentRequest | undefined
  outcome (requestId: string): Outcome | undefined
  runs (requestId: string): readonly RunLine[]
}

/** Check of one guarantee about requests. Each method returns a description of the violation, or undefined if there is none. */
export interface RequestCheck {
  readonly guarantee: GuaranteeName
  /** Called for each run when it starts. */
  onRun? (run: RunLine, view: HistoryView): string | undefined
  /** Called for each rejection that asks for a pause. */
  onRejection? (rejection: RejectionLine, view: HistoryView): string | undefined
  /** Called for each request that arrives at an endpoint, whether it is run or rejected. */
  onArrival? (arrival: ArrivalLine, view: HistoryView): string | undefined
  /** Called after the last request has ended; returns the violations that only the whole run shows. */
  onEnd? (): string[]
  /** Called for each request after it has ended and the endpoints have reported its runs. */
  onOutcome? (outcome: Outcome, view: HistoryView): string | undefined
}

/** Delay after the end of a request until the endpoints have reported all its runs, in milliseconds. */
const SETTLE_DELAY_MS = 1000

/** Records observations and collects the violations that the checks find. */
export class RequestHistory implements HistoryView {
  readonly #requests = new Map<string, SentRequest>()
  readonly #outcomes = new Map<string, Outcome>()
  readonly #runs = new Map<string, RunLine[]>()
  readonly #settling = new Map<string, NodeJS.Timeout>()
  readonly violations: Violation[] = []

  /**
   * @param timeline - faults that were injected
   * @param checks - checks of requests
   */
  constructor (readonly timeline: Timeline, private readonly checks: readonly RequestCheck[]) {}

  get requestCount (): number { return this.#requests.size }
  get outcomes (): Iterable<Outcome> { return this.#outcomes.values() }

  request (requestId: string): SentRequest | undefined { return this.#requests.get(requestId) }
  outcome (requestId: string): Outcome | undefined { return this.#outcomes.get(requestId) }
  runs (requestId: string): readonly RunLine[] { return this.#runs.get(requestId) ?? [] }

  /** @param request - request that is about to be sent */
  recordRequest (request: SentRequest): void {
    this.#requests.set(request.id, request)
  }

  /** @param run - run that has started on an endpoint */
  recordRun (run: RunLine): void {
    this.#runs.set(run.requestId, [...this.runs(run.requestId), run])
    this.#recordArrival(run)
    for (const check of this.checks) {
      const detail = check.onRun?.(run, this)
      if (detail !== undefined) this.#recordRequestViolation(check.guarantee, run.requestId, detail)
    }
  }

  /** @param rejection - rejection by an endpoint that asks for a pause */
  recordRejection (rejection: RejectionLine): void {
    this.#recordArrival(rejection)
    for (const check of this.checks) {
      const detail = check.onRejection?.(rejection, this)
      if (detail !== undefined) this.#recordRequestViolation(check.guarantee, rejection.requestId, detail)
    }
  }

  /** @param line - rejection by an endpoint that asks for nothing */
  recordTurnedAway (line: TurnedAwayLine): void {
    this.#recordArrival(line)
  }

  /** @param outcome - request that has ended, and how */
  recordOutcome (outcome: Outcome): void {
    const { id } = outcome.request
    this.#outcomes.set(id, outcome)
    this.#settling.set(id, setTimeout(() => { this.#settle(outcome) }, SETTLE_DELAY_MS))
  }

  /** Checks all requests that have ended, without waiting for the rest of their delay, and the run as a whole. */
  settleAll (): void {
    for (const id of [...this.#settling.keys()]) {
      const outcome = this.#outcomes.get(id)
      if (outcome !== undefined) this.#settle(outcome)
    }
    for (const check of this.checks) {
      for (const detail of check.onEnd?.() ?? []) this.recordViolation(check.guarantee, detail, [])
    }
  }

  /**
   * @param guarantee - guarantee that is broken
   * @param detail - how it is broken
   * @param processes - incarnations of the processes that were involved
   * @param provokedBy - fault that the request asked the endpoint for, if any
   */
  recordViolation (guarantee: GuaranteeName, detail: string, processes: readonly string[], provokedBy?: EndpointBreak): void {
    this.violations.push({ guarantee, detail, at: Date.now(), processes, provokedBy })
  }

  #recordArrival (arrival: ArrivalLine): void {
    for (const check of this.checks) {
      const detail = check.onArrival?.(arrival, this)
      if (detail !== undefined) this.#recordRequestViolation(check.guarantee, arrival.requestId, detail)
    }
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
