/** Decides whether a request may be retried, within the limits of its route and the retry budget that all hosts share. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { AttemptRecord } from './AttemptRecord.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** Result of a reservation. */
export type RetryReservationOutcome =
  | 'reserved'
  | 'not-allowed'
  /** A retry is allowed, but the budget is used up for now. */
  | 'no-budget'

/** Reserves the retries of one request. */
export class RetryReservation {
  #hasLogged = false

  /**
   * @param request - request that may be retried
   * @param ports - retry budget
   * @param attempts - attempts that were made
   * @param logBudgetExhausted - called once when the budget is used up
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly ports: Pick<RoutedPorts, 'allowance'>,
    private readonly attempts: AttemptRecord,
    private readonly logBudgetExhausted: (failure: AttemptFailure) => void
  ) {}

  /**
   * Reserves one more attempt, and charges it to the budget if its kind requires that.
   *
   * @param failure - how the last attempt failed
   * @param remainingMs - milliseconds until the deadline
   * @param hasBegun - whether the caller has received part of the response
   */
  reserve (failure: AttemptFailure, remainingMs: number, hasBegun: boolean): RetryReservationOutcome {
    const step = this.attempts.nextStep(this.request.route, failure, remainingMs, hasBegun)
    if (step.kind === 'give-up') return 'not-allowed'
    if (!step.spendsBudget || this.ports.allowance.trySpend()) return 'reserved'
    if (!this.#hasLogged) this.logBudgetExhausted(failure)
    this.#hasLogged = true
    return 'no-budget'
  }
}
