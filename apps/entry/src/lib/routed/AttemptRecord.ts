/** How often a request was sent and may have run, and whether it may be sent again. */
import { nextStep, type AttemptFailure, type NextStep } from '@eelgrassmux/routing/attempts/nextStep'
import type { Route } from '@eelgrassmux/schema/site/siteSchema'
import { DispatchRecord } from '@eelgrassmux/schema/Refusal'

/** Failures after which the request may have run. */
export const FAILURES_THAT_MAY_HAVE_RUN: ReadonlySet<AttemptFailure> = new Set(['lost', 'broken-stream'])

/** Attempts of one request. */
export class AttemptRecord {
  readonly dispatch = new DispatchRecord()
  #sends = 0
  #runs = 0

  /** Endpoints to which it was sent. */
  get sends (): number { return this.#sends }
  /** Endpoints on which it ran or may have run. */
  get runs (): number { return this.#runs }
  get mayHaveRun (): boolean { return this.dispatch.mayHaveRun }

  /** Call once an endpoint is chosen and there is a connection to it. */
  recordSend (): void {
    this.#sends += 1
  }

  /** Call before the first byte leaves. */
  recordRun (): void {
    this.#runs += 1
    this.dispatch.markDispatched()
  }

  /** Call when the endpoint itself says that it did not run the last attempt. */
  retractRun (): void {
    this.#runs -= 1
    this.dispatch.markNotStarted()
  }

  /**
   * @param route - of the request
   * @param failure - of the last attempt
   * @param remainingMs - that its caller has left
   * @param hasBegun - whether its caller has part of the answer
   */
  nextStep ({ kind, isResumable, attempts }: Route, failure: AttemptFailure, remainingMs: number, hasBegun: boolean): NextStep {
    return nextStep({ kind, isResumable, failure, runs: this.#runs, sends: this.#sends, maximumRuns: attempts, remainingMs, hasBegun })
  }
}
