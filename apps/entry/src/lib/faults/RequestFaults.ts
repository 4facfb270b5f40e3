/** Exceptions in the handling of requests: each ends the request in which it is thrown, not the process with all others. */
import { InvariantViolation } from '@eelgrassmux/schema/invariant'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Invariants of one request. All others concern state that requests share, and end the process. */
const INVARIANTS_OF_A_REQUEST: ReadonlySet<string> = new Set(['dispatch-balance', 'not-run-is-true'])

/** Most characters of a stack that are logged. */
const MAX_STACK_LENGTH = 2000

/** Counts and logs the faults of all requests of this host. */
export class RequestFaults {
  readonly #faults: LabelledCounter

  /** @param telemetry - metrics and log */
  constructor (private readonly telemetry: Telemetry) {
    this.#faults = telemetry.labelledCounter('request_faults_total', 'Exceptions in the handling of requests by kind of error', 'error')
  }

  /**
   * @param requestId - id of the request
   * @param error - exception that was thrown
   * @throws the exception itself if it says that state which requests share is broken
   */
  contain (requestId: string, error: unknown): void {
    if (error instanceof InvariantViolation && !INVARIANTS_OF_A_REQUEST.has(error.invariant)) throw error
    const { name, message, stack = '' } = error instanceof Error ? error : new Error(String(error))
    this.#faults.count(name)
    this.telemetry.logDecision('request-fault', requestId, { message, stack: stack.slice(0, MAX_STACK_LENGTH) })
  }
}

/** Runs the steps of one request. The request ends with the first exception in any of them, and none of them runs any more. */
export class FaultBoundary {
  #isBroken = false

  /**
   * @param faults - faults of all requests
   * @param requestId - id of the request
   * @param end - ends the request
   */
  constructor (private readonly faults: RequestFaults, private readonly requestId: string, private readonly end: () => void) {}

  /**
   * @param step - step of the request
   * @param otherwise - result if the step fails, or the request is broken already
   * @returns the result of the step
   */
  run<Outcome> (step: () => Outcome, otherwise: Outcome): Outcome {
    if (this.#isBroken) return otherwise
    try {
      return step()
    } catch (error) {
      this.#isBroken = true
      this.faults.contain(this.requestId, error)
      this.end()
      return otherwise
    }
  }

  /**
   * @param step - step that a timer, a connection or another part of this host will call
   * @returns the step, within this boundary
   */
  guard<Arguments extends readonly unknown[]> (step: (...given: Arguments) => void): (...given: Arguments) => void {
    return (...given) => { this.run(() => { step(...given) }, undefined) }
  }
}
