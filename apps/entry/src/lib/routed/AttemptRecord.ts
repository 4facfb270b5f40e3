/** How often a request was sent and may have run, and whether it may be sent again. */
import { decideRetry, type AttemptFailure, type RetryDecision } from '@eelgrassmux/routing/attempts/decideRetry'
import type { Route } from '@eelgrassmux/schema/site/siteSchema'
import { DispatchRecord } from '@eelgrassmux/schema/Refusal'

/** Failures after which the request may have run. */
export const MAY_HAVE_RUN: ReadonlySet<AttemptFailure> = new Set(['lost', 'broken-stream'])

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
  noteSend (): void {
    this.#sends += 1
  }

  /** Call before the first byte leaves. */
  noteRun (): void {
    this.#runs += 1
    this.dispatch.markDispatched()
  }

  /** Call when the endpoint itself says that it did not run the last attempt. */
  noteNotRun (): void {
    this.#runs -= 1
    this.dispatch.markNotStarted()
  }

  /**
   * @param route - of the request
   * @param failure - of the last attempt
   * @param remainingMs - that its caller has left
   * @param hasBegun - whether its caller has part of the answer
   */
  nextStep ({ kind, isResumable, attempts }: Route, failure: AttemptFailure, remainingMs: number, hasBegun: boolean): RetryDecision {
    return decideRetry({ kind, isResumable, failure, runs: this.#runs, sends: this.#sends, maxRuns: attempts, remainingMs, hasPartialAnswer: hasBegun })
  }
}
