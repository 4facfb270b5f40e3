/** Counts how often a request was sent and may have been executed, and decides whether it may be retried. */
import { decideRetry, mayRunAgain, type AttemptFailure, type RetryDecision } from '@eelgrassmux/routing/attempts/decideRetry'
import type { Route } from '@eelgrassmux/schema/site/siteSchema'
import { DispatchRecord } from '@eelgrassmux/schema/Refusal'

/** Failures after which the request may have been executed. */
export const FAILURES_THAT_MAY_HAVE_RUN: ReadonlySet<AttemptFailure> = new Set(['lost', 'broken-stream'])

/** Counts the attempts of one request. */
export class AttemptRecord {
  readonly dispatch = new DispatchRecord()
  #sends = 0
  #uncountedSends = 0
  #runs = 0

  /** Number of sends. */
  get sends (): number { return this.#sends }
  /** Number of sends after which the request was or may have been executed. */
  get runs (): number { return this.#runs }
  get mayHaveRun (): boolean { return this.dispatch.mayHaveRun }

  /**
   * @param route - route of the request
   * @returns whether the request may be sent now: unless it may be executed repeatedly, no earlier send may have been executed
   */
  maySend ({ kind, isResumable }: Route): boolean {
    return !this.mayHaveRun || mayRunAgain({ kind, isResumable })
  }

  /** Call once an endpoint is chosen and a connection to it is available. */
  recordSend (): void {
    this.#sends += 1
  }

  /** Call when the last send was rejected by a full endpoint, and the request goes back into the queue of all hosts. */
  discountSend (): void {
    this.#uncountedSends += 1
  }

  /** Call before the first byte is sent. */
  recordRun (): void {
    this.#runs += 1
    this.dispatch.markDispatched()
  }

  /** Call when the head of a response states that the endpoint did not execute the last attempt. */
  retractRun (): void {
    this.#runs -= 1
    this.dispatch.markNotStarted()
  }

  /**
   * @param route - route of the request
   * @param failure - how the last attempt failed
   * @param remainingMs - milliseconds until the deadline
   * @param hasBegun - whether the caller has received part of the response
   */
  nextStep ({ kind, isResumable, attempts }: Route, failure: AttemptFailure, remainingMs: number, hasBegun: boolean): RetryDecision {
    return decideRetry({ kind, isResumable, failure, runs: this.#runs, sends: this.#sends - this.#uncountedSends, maxRuns: attempts, remainingMs, hasPartialAnswer: hasBegun })
  }
}
