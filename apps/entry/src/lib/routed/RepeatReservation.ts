/** Whether a request may be sent once more, within its route and the budget that all hosts share. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { AttemptRecord } from './AttemptRecord.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** What came of a reservation. */
export type RepeatOutcome =
  | 'reserved'
  | 'not-allowed'
  /** Allowed, but the budget is used up for now. */
  | 'no-budget'

/** Reservations of one request. */
export class RepeatReservation {
  #hasLogged = false

  /**
   * @param request - that may be sent again
   * @param ports - the budget
   * @param attempts - that were made
   * @param logUsedUp - logs that the budget is used up
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly ports: Pick<RoutedPorts, 'allowance'>,
    private readonly attempts: AttemptRecord,
    private readonly logUsedUp: (failure: AttemptFailure) => void
  ) {}

  /**
   * Spends the budget for one more attempt.
   *
   * @param failure - of the last one
   * @param remainingMs - that its caller has left
   * @param hasBegun - whether its caller has part of the answer
   */
  reserve (failure: AttemptFailure, remainingMs: number, hasBegun: boolean): RepeatOutcome {
    const step = this.attempts.nextStep(this.request.route, failure, remainingMs, hasBegun)
    if (step.kind === 'give-up') return 'not-allowed'
    if (!step.spendsBudget || this.ports.allowance.trySpend()) return 'reserved'
    if (!this.#hasLogged) this.logUsedUp(failure)
    this.#hasLogged = true
    return 'no-budget'
  }
}
