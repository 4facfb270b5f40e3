/** All that callers and endpoints have seen, and what it breaks. */
import type { EndpointBreak, RejectionLine, RunLine } from './standinProtocol.js'
import type { AskedRequest, Outcome } from './observations.js'
import type { TimeLine } from './Timeline.js'

/** Promises that the soak checks. */
export const PROMISES = [
  'at-most-once', 'not-run-is-true', 'whole-answers', 'events-in-order', 'nothing-is-cut', 'customers-apart', 'one-weight-version',
  'configuration-never-reverts', 'ends-when-told', 'recovers', 'poison-requests-stop', 'bystanders-are-served',
  'pauses-are-kept', 'rates-are-kept', 'leaving-is-heeded', 'evacuations-hold', 'cold-rates-are-kept'
] as const
export type PromiseName = typeof PROMISES[number]

/** A broken promise. */
export interface Violation {
  readonly promise: PromiseName
  readonly detail: string
  readonly at: number
  /** Incarnations that had to do with it. */
  readonly processes: readonly string[]
  /** What the endpoint was asked to do wrong, in a run that breaks promises on purpose. */
  readonly provokedBy: EndpointBreak | undefined
}

/** What a check may look up. */
export interface LedgerView {
  readonly timeLine: TimeLine
  asked (requestId: string): AskedRequest | undefined
  outcome (requestId: string): Outcome | undefined
  runs (requestId: string): readonly RunLine[]
}

/** One promise about requests; both methods return what is wrong, if anything is. */
export interface RequestCheck {
  readonly promise: PromiseName
  /** Told of each run as it begins. */
  onRun? (run: RunLine, view: LedgerView): string | undefined
  /** Told of each rejection that asks for a pause. */
  onRejection? (rejection: RejectionLine, view: LedgerView): string | undefined
  /** Told of each end, a moment later, when endpoints have said what they ran. */
  onOutcome? (outcome: Outcome, view: LedgerView): string | undefined
}

/** Time after which endpoints have said what they ran for a request that has ended, in milliseconds. */
const SETTLE_MS = 1000

/** Takes observations and asks the checks. */
export class Ledger implements LedgerView {
  readonly #asked = new Map<string, AskedRequest>()
  readonly #outcomes = new Map<string, Outcome>()
  readonly #runs = new Map<string, RunLine[]>()
  readonly #settling = new Map<string, NodeJS.Timeout>()
  readonly violations: Violation[] = []

  /**
   * @param timeLine - what was done to the processes
   * @param checks - promises about requests
   */
  constructor (readonly timeLine: TimeLine, private readonly checks: readonly RequestCheck[]) {}

  get requestCount (): number { return this.#asked.size }
  get outcomes (): Iterable<Outcome> { return this.#outcomes.values() }

  asked (requestId: string): AskedRequest | undefined { return this.#asked.get(requestId) }
  outcome (requestId: string): Outcome | undefined { return this.#outcomes.get(requestId) }
  runs (requestId: string): readonly RunLine[] { return this.#runs.get(requestId) ?? [] }

  /** @param request - about to be sent */
  noteAsked (request: AskedRequest): void {
    this.#asked.set(request.id, request)
  }

  /** @param run - began at an endpoint */
  noteRun (run: RunLine): void {
    this.#runs.set(run.requestId, [...this.runs(run.requestId), run])
    for (const check of this.checks) {
      const detail = check.onRun?.(run, this)
      if (detail !== undefined) this.#noteRequest(check.promise, run.requestId, detail)
    }
  }

  /** @param rejection - of an endpoint that asks for a pause */
  noteRejection (rejection: RejectionLine): void {
    for (const check of this.checks) {
      const detail = check.onRejection?.(rejection, this)
      if (detail !== undefined) this.#noteRequest(check.promise, rejection.requestId, detail)
    }
  }

  /** @param outcome - a request's end */
  noteOutcome (outcome: Outcome): void {
    const { id } = outcome.request
    this.#outcomes.set(id, outcome)
    this.#settling.set(id, setTimeout(() => { this.#settle(outcome) }, SETTLE_MS))
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
  noteViolation (promise: PromiseName, detail: string, processes: readonly string[], provokedBy?: EndpointBreak): void {
    this.violations.push({ promise, detail, at: Date.now(), processes, provokedBy })
  }

  #noteRequest (promise: PromiseName, requestId: string, detail: string): void {
    this.noteViolation(promise, `${requestId}: ${detail}`, this.#processesOf(requestId), this.asked(requestId)?.work.fault)
  }

  #settle (outcome: Outcome): void {
    const { id } = outcome.request
    clearTimeout(this.#settling.get(id))
    this.#settling.delete(id)
    for (const check of this.checks) {
      const detail = check.onOutcome?.(outcome, this)
      if (detail !== undefined) this.#noteRequest(check.promise, id, detail)
    }
  }

  #processesOf (requestId: string): string[] {
    const host = this.asked(requestId)?.host
    return [...host === undefined ? [] : [host], ...new Set(this.runs(requestId).map(run => run.endpoint))]
  }
}
