/** Decides whether a request may be retried, within the limits of its route and the retry budget that all hosts share. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { RetryKind, RetryTokenWait } from '../retries/RetryTokens.js'
import type { AttemptRecord } from './AttemptRecord.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** Result of a reservation. */
export type RetryReservationOutcome =
  | 'reserved'
  | 'not-allowed'
  /** A retry is allowed, but the budget is used up for now. */
  | 'no-budget'

/** Log lines about the reservations of one request. */
export interface RetryReservationLog {
  /** Called once when this host's part of the budget is used up. */
  budgetUsedUp (failure: AttemptFailure): void
  /** Called when a retry got a token of the budget that hosts share. */
  granted (fields: DecisionFields<'retry-granted'>): void
  /** Called once for each retry that got no token at first. */
  denied (fields: DecisionFields<'retry-denied'>): void
}

const TOKEN_DECIMALS = 2

/** Reserves the retries of one request. */
export class RetryReservation {
  #hasLogged = false
  #deniedAt: number | undefined
  #wait: RetryTokenWait | undefined
  #waitKind: RetryKind | undefined
  #onSettled: () => void = () => {}

  /**
   * @param request - request that may be retried
   * @param ports - retry budget
   * @param attempts - attempts that were made
   * @param log - receives log lines
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly ports: Pick<RoutedPorts, 'allowance'>,
    private readonly attempts: AttemptRecord,
    private readonly log: RetryReservationLog
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
    if (!step.spendsBudget) return 'reserved'
    const isReserved = this.ports.allowance.trySpend(kindOf(hasBegun))
    this.#logOutcome(isReserved, failure)
    if (isReserved) this.cancelWait()
    return isReserved ? 'reserved' : 'no-budget'
  }

  /** Gives back the token of the last reservation, because the attempt was not sent. Call in the same turn. */
  undo (): void {
    this.ports.allowance.undoSpend()
  }

  /**
   * Asks for a token. A request that waits already keeps its place.
   *
   * @param hasBegun - whether the caller has received part of the response
   * @param onSettled - called once the retry should be tried again; replaces that of an earlier call
   * @returns whether a token was asked for
   */
  awaitToken (hasBegun: boolean, onSettled: () => void): boolean {
    const kind = kindOf(hasBegun)
    if (this.#waitKind !== kind) this.cancelWait()
    this.#onSettled = onSettled
    this.#waitKind = kind
    this.#wait ??= this.ports.allowance.request(kind, () => {
      this.#wait = undefined
      this.#onSettled()
    })
    return this.#wait !== undefined
  }

  /** Ends the wait for a token. */
  cancelWait (): void {
    this.#wait?.cancel()
    this.#wait = undefined
  }

  #logOutcome (isReserved: boolean, failure: AttemptFailure): void {
    const state = this.ports.allowance.describe()
    if (state === undefined) {
      if (!isReserved && !this.#hasLogged) this.log.budgetUsedUp(failure)
      this.#hasLogged ||= !isReserved
      return
    }
    const now = performance.now()
    const fields = { failure, account: Number(state.account.toFixed(TOKEN_DECIMALS)), pool: Number(state.pool.toFixed(TOKEN_DECIMALS)), waitMs: Math.round(now - (this.#deniedAt ?? now)) }
    if (isReserved) this.log.granted(fields)
    else if (this.#deniedAt === undefined) this.log.denied(fields)
    this.#deniedAt = isReserved ? undefined : this.#deniedAt ?? now
  }
}

function kindOf (hasBegun: boolean): RetryKind {
  return hasBegun ? 'begun' : 'other'
}
