/** Chooses the endpoint of a standby attempt, for a request whose endpoint has stopped responding. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { FaultBoundary } from '../faults/RequestFaults.js'
import type { QuarantineGuard } from '../quarantine/QuarantineGuard.js'
import type { AttemptRecord } from './AttemptRecord.js'
import type { RequestEnd } from './RequestEnd.js'
import type { RequestPlacement } from './RequestPlacement.js'
import type { RequestRetries } from './RequestRetries.js'
import type { ResponseRelay } from './ResponseRelay.js'
import type { ResponseTimes } from './ResponseTimes.js'
import type { RoutedAttempt } from './RoutedAttempt.js'
import type { RoutedRequest } from './RoutedRequest.js'
import { SILENCE_CHECK_INTERVAL_MS } from './SilenceFailover.js'

/** Parts of the request that standbys depend on. */
export interface RequestWithStandby {
  readonly attempts: AttemptRecord
  readonly placement: RequestPlacement
  readonly guard: QuarantineGuard
  readonly times: ResponseTimes
  readonly relay: ResponseRelay
  readonly retries: RequestRetries
  readonly end: RequestEnd
  readonly steps: FaultBoundary
}

/** Callbacks to the task of the request. */
export interface StandbyPlacementPorts {
  /** The attempt whose response is awaited; undefined if there is none. */
  current (): RoutedAttempt | undefined
  /** Looks whether its endpoint has stopped responding, or its connection has. */
  detectSilence (): boolean
  /** @returns an attempt at the chosen endpoint, not sent yet; undefined if there is no connection */
  open (choice: EndpointChoice): RoutedAttempt | undefined
  /** Looks at once whether a standby has to be opened. */
  checkNow (): void
}

/** Opens the standbys of one request. */
export class StandbyPlacement {
  #nextTokenRequestAt = Number.NEGATIVE_INFINITY

  /**
   * @param request - request that may need a standby
   * @param deadline - deadline of the request, in monotonic milliseconds
   * @param parts - parts of the request
   * @param task - callbacks to the task of the request
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly deadline: number,
    private readonly parts: RequestWithStandby,
    private readonly task: StandbyPlacementPorts
  ) {}

  /** @returns whether the request may be sent to another endpoint, and its current one has stopped responding */
  shouldOpen (): boolean {
    const { end, relay, attempts } = this.parts
    return !end.isDone && relay.canGoOnElsewhere && attempts.runs < this.request.route.attempts && this.task.detectSilence()
  }

  /**
   * Opens a standby attempt if another endpoint can take the request. Otherwise the request stays where it is, because
   * silence alone is no reason to end a response.
   *
   * @returns the standby, not sent yet
   */
  open (): RoutedAttempt | undefined {
    const { guard, placement, relay, retries, end, times } = this.parts
    const now = performance.now()
    const current = this.task.current()?.choice.endpoint.id
    if (guard.rejection(now) !== undefined || now < placement.tried.retryAt) return undefined
    const choice = placement.choose()
    if (typeof choice === 'string') {
      if (relay.canResumeStream) placement.tried.allowAgain(current)
      return undefined
    }
    if (placement.admit(choice).kind !== 'send') return undefined
    const reservation = retries.reserve('broken-stream')
    if (reservation === 'no-budget') this.#awaitToken(now)
    if (reservation !== 'reserved') return undefined
    const standby = this.task.open(choice)
    if (standby === undefined) {
      retries.undo()
      return undefined
    }
    retries.countStandby()
    end.logDecision('standby-opened', { endpoint: current ?? '', standby: choice.endpoint.id, hadEvents: times.hasFirstEvent, remainingMs: Math.round(this.deadline - now) })
    return standby
  }

  /** Asks for a token for the standby; the next check opens it if it still has to be opened. */
  #awaitToken (now: number): void {
    const { relay, retries, steps } = this.parts
    // An answer without a token leads to a check as well, which must not ask again at once.
    if (!relay.canResumeStream && now < this.#nextTokenRequestAt) return
    this.#nextTokenRequestAt = now + SILENCE_CHECK_INTERVAL_MS / 2
    retries.awaitToken(relay.canResumeStream, steps.guard(() => { this.task.checkNow() }))
  }
}
