/** Retries of one routed request after failed attempts, within the limits of its route and the retry budget. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { FaultBoundary } from '../faults/RequestFaults.js'
import type { AttemptRecord } from './AttemptRecord.js'
import type { CallerExchange } from './CallerExchange.js'
import type { PlacementWaits } from './PlacementWaits.js'
import type { RequestEnd } from './RequestEnd.js'
import type { RequestPlacement } from './RequestPlacement.js'
import type { ResponseRelay } from './ResponseRelay.js'
import { RetryReservation, type RetryReservationOutcome } from './RetryReservation.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** Parts of the request that retries depend on. */
export interface RetriedRequest {
  readonly attempts: AttemptRecord
  readonly placement: RequestPlacement
  readonly waits: PlacementWaits
  readonly relay: ResponseRelay
  readonly exchange: CallerExchange
  readonly end: RequestEnd
  readonly steps: FaultBoundary
}

/** Callbacks to the task of the request. */
export interface RequestRetriesPorts {
  /** Chooses an endpoint and sends the request there. */
  placeNext (): void
  /** Stops looking for an endpoint that has stopped responding. */
  stopFailover (): void
  /** The request is not retried. */
  giveUp (failure: AttemptFailure, detail: string): void
}

/** Retries one request, at once or when a token of the retry budget arrives. */
export class RequestRetries {
  readonly #reservation: RetryReservation

  /**
   * @param request - request that may be retried
   * @param ports - retry budget and its counters
   * @param deadline - deadline of the request, in monotonic milliseconds
   * @param parts - parts of the request
   * @param task - callbacks to the task of the request
   */
  constructor (
    request: RoutedRequest,
    private readonly ports: Pick<RoutedPorts, 'allowance' | 'retries'>,
    private readonly deadline: number,
    private readonly parts: RetriedRequest,
    private readonly task: RequestRetriesPorts
  ) {
    const { attempts, end } = parts
    this.#reservation = new RetryReservation(request, ports, attempts, {
      budgetUsedUp: failure => { end.logDecision('retry-budget-used-up', { failure }) },
      granted: fields => { end.logDecision('retry-granted', fields) },
      denied: fields => { end.logDecision('retry-denied', fields) }
    })
  }

  /**
   * @param failure - how the last attempt failed
   * @param detail - explanation for the caller
   */
  retryOrGiveUp (failure: AttemptFailure, detail: string): void {
    const giveUp = (): void => { this.task.giveUp(failure, detail) }
    if (!this.tryRetry(failure, giveUp)) giveUp()
  }

  /**
   * @param failure - how the last attempt failed
   * @param onDenied - called if the retry waited for a token in vain
   * @param mayAwaitToken - whether a retry that has no token may wait for one
   * @returns whether the request is retried or waits for that
   */
  tryRetry (failure: AttemptFailure, onDenied: () => void, mayAwaitToken = true): boolean {
    const { relay, placement, waits } = this.parts
    const reservation = this.reserve(failure)
    if (reservation === 'no-budget') {
      return relay.canResumeStream ? this.#waitForBudget(failure) : mayAwaitToken && this.#awaitAnswer(failure, onDenied)
    }
    if (reservation !== 'reserved') return false
    this.ports.retries.count(failure)
    if (relay.canResumeStream && placement.tried.retryAt > performance.now()) return waits.waitToResume(placement.tried.retryAt, placement.callerTimeoutAt)
    this.task.placeNext()
    return true
  }

  /**
   * Reserves one more attempt.
   *
   * @param failure - how the last attempt failed
   */
  reserve (failure: AttemptFailure): RetryReservationOutcome {
    const { exchange, placement, relay } = this.parts
    if (!exchange.hasHead && !placement.canFinishBeforeStop) return 'not-allowed'
    return this.#reservation.reserve(failure, this.deadline - performance.now(), relay.canResumeStream)
  }

  /** Counts a reserved attempt that is opened beside the current one. */
  countStandby (): void {
    this.ports.retries.count('broken-stream')
  }

  /** Gives back the token of the last reservation, because the attempt was not sent. Call in the same turn. */
  undo (): void {
    this.#reservation.undo()
  }

  /**
   * Asks for a token.
   *
   * @param hasBegun - whether the caller has received part of the response
   * @param onSettled - called once the retry should be tried again
   * @returns whether a token was asked for
   */
  awaitToken (hasBegun: boolean, onSettled: () => void): boolean {
    return this.#reservation.awaitToken(hasBegun, onSettled)
  }

  /** Ends the wait for a token. */
  cancelWait (): void {
    this.#reservation.cancelWait()
  }

  /** Waits until a stream that has begun gets a token. */
  #waitForBudget (failure: AttemptFailure): boolean {
    const { placement, waits, end, steps } = this.parts
    // New requests refill the budget in the meantime.
    const isWaiting = waits.waitToResume(0, placement.callerTimeoutAt, steps.guard(() => { if (!end.isDone) this.retryOrGiveUp(failure, 'the budget for repeats is used up') }))
    if (isWaiting) this.#reservation.awaitToken(true, steps.guard(() => { waits.resumeNow() }))
    return isWaiting
  }

  /** Waits for the leader's next answer, which may bring a token. */
  #awaitAnswer (failure: AttemptFailure, onDenied: () => void): boolean {
    const isWaiting = this.#reservation.awaitToken(false, this.parts.steps.guard(() => { if (!this.parts.end.isDone && !this.tryRetry(failure, onDenied, false)) onDenied() }))
    // The failed attempt must not open a standby during the wait, because the request would be placed twice.
    if (isWaiting) this.task.stopFailover()
    return isWaiting
  }
}
