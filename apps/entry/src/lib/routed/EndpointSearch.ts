/**
 * The search of one routed request for an endpoint that can take it now. The request is placed at once, waits at this
 * host or in the queue of all hosts, goes to another host, or is refused.
 */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { FaultBoundary } from '../faults/RequestFaults.js'
import type { QuarantineGuard } from '../quarantine/QuarantineGuard.js'
import type { RequestRelay } from '../relays/RequestRelay.js'
import type { UsableGrant } from '../waiting/WaitingExchange.js'
import type { AttemptRecord } from './AttemptRecord.js'
import type { CallerExchange } from './CallerExchange.js'
import { PlacementWaits } from './PlacementWaits.js'
import type { PromptContext } from './PromptContext.js'
import { QueuedPlacement } from './QueuedPlacement.js'
import type { RequestEnd } from './RequestEnd.js'
import type { PlacementFailure, RequestPlacement, TakenReservation } from './RequestPlacement.js'
import type { ResponseRelay } from './ResponseRelay.js'
import type { RoutedAttempt } from './RoutedAttempt.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** Parts of the request that the search depends on. */
export interface SearchingRequest {
  readonly attempts: AttemptRecord
  readonly placement: RequestPlacement
  readonly prompt: PromptContext | undefined
  readonly guard: QuarantineGuard
  readonly relay: ResponseRelay
  readonly otherHosts: RequestRelay
  readonly exchange: CallerExchange
  readonly end: RequestEnd
  readonly steps: FaultBoundary
}

/** Callbacks to the task of the request. */
export interface EndpointSearchPorts {
  /** @returns an attempt at the chosen endpoint, not sent yet; undefined if there is no connection */
  open (choice: EndpointChoice): RoutedAttempt | undefined
  /** Sends the request to the endpoint that was found. */
  send (attempt: RoutedAttempt, isExpectedLate: boolean, reservation?: string): void
  /** How the last attempt failed; undefined if none has. */
  lastFailure (): AttemptFailure | undefined
}

/** Searches for endpoints on behalf of one request. */
export class EndpointSearch {
  /** Delayed placements of the request. */
  readonly waits: PlacementWaits
  readonly #queue: QueuedPlacement

  /**
   * @param request - request to place
   * @param ports - dependencies
   * @param deadline - deadline of the request, in monotonic milliseconds
   * @param parts - parts of the request
   * @param task - callbacks to the task of the request
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly ports: RoutedPorts,
    private readonly deadline: number,
    private readonly parts: SearchingRequest,
    private readonly task: EndpointSearchPorts
  ) {
    this.waits = new PlacementWaits({
      retryPlacement: parts.steps.guard(() => { this.#retryPlacement() }),
      logWait: details => { parts.end.logDecision('waits-for-room', details) },
      logResumption: details => { parts.end.logDecision('waits-to-resume', details) }
    })
    this.#queue = new QueuedPlacement(request, ports, parts.placement, {
      granted: parts.steps.guard(grant => { this.#takeGrant(grant) }),
      retry: parts.steps.guard(() => { this.#retryFromQueue() }),
      refused: parts.steps.guard(retryAfterMs => { parts.end.refuse('deadline-unreachable', 503, 'the requests that go first leave no capacity within the time that callers wait', retryAfterMs) }),
      expired: parts.steps.guard(() => { parts.end.refuse('deadline-unreachable', 503, 'no endpoint had capacity within the time that callers wait') })
    }, details => { parts.end.logDecision('waits-in-order', details) })
  }

  /** Whether requests wait in the order of all hosts. */
  get usesQueue (): boolean { return this.#queue.isEnabled }

  /** Ends the wait in the queue of all hosts, because an endpoint was found or the request has ended. */
  leaveQueue (): void {
    this.#queue.leave()
  }

  /** Chooses an endpoint and sends the request there, once the load of the other hosts is known. */
  placeNext (): void {
    this.ports.withRecentLoad(this.parts.steps.guard(() => { if (!this.parts.end.isDone) this.#sendToNextEndpoint() }))
  }

  /**
   * Places a call again that a full endpoint has rejected. The rejection costs the call nothing but time: it counts as no
   * attempt, and the endpoint may get the call again.
   *
   * @param attempt - attempt that was rejected
   */
  placeAfterRejection ({ choice: { endpoint } }: RoutedAttempt): void {
    const { fleet, waiting } = this.ports
    const now = performance.now()
    // The rejection itself states how many calls were there; the load that hosts report lags behind.
    const occupancy = Math.max(fleet.occupancyOf(endpoint), endpoint.occupancy(now).total)
    fleet.plainPlaces.recordRejection(endpoint.incarnation, occupancy, now)
    waiting?.recordRejection({ endpoint: endpoint.incarnation, occupancy })
    this.parts.attempts.discountSend()
    this.parts.placement.tried.forget(endpoint.id)
    this.#queue.requireBudget()
    this.placeNext()
  }

  #sendToNextEndpoint (): void {
    if (this.#refuseIfQuarantined() || this.#refuseIfStopping() || this.parts.otherHosts.takeIfOutOfReach()) return
    const choice = this.parts.placement.choose()
    if (typeof choice === 'string') return this.#endWithoutEndpoint(choice)
    const admission = this.parts.placement.admit(choice)
    if (admission.kind === 'wait') return this.#queue.isEnabled ? this.#waitInQueue() : this.waits.waitForMemory(choice)
    if (admission.kind === 'refuse') return this.parts.end.refuse('deadline-unreachable', 503, admission.detail, admission.returnAfterMs)
    if (this.parts.otherHosts.takeIfNewConnectionsFail(choice.endpoint)) return
    if (!this.#queue.takeBudget()) return this.#waitInQueue()
    const attempt = this.task.open(choice)
    if (attempt === undefined) return this.#sendToNextEndpoint()
    this.task.send(attempt, admission.isExpectedLate)
  }

  // --- Queue of all hosts ---

  #waitInQueue (): void {
    if (this.#queue.isBudgetExhausted) return this.parts.end.refuse('endpoint-refused', 503, 'an endpoint rejected it, and the budget for repeats is used up')
    const outcome = this.#queue.wait()
    if (outcome === 'full') this.parts.end.refuse('deadline-unreachable', 503, 'too many requests wait at this host', this.request.route.targetLatencyMs)
    if (outcome === 'no-candidates') this.#endWithoutEndpoint(this.parts.placement.failureWithoutQueue)
  }

  /** Uses a grant of the leader; at an engine that was reserved, after taking the engine's own reservation. */
  #takeGrant (grant: UsableGrant): void {
    const reservation = grant.wasReserved ? this.parts.placement.reserve(grant.endpoint) : undefined
    if (reservation === undefined) this.#useGrant(grant, undefined)
    else void reservation.then(this.parts.steps.guard(taken => { this.#useGrant(grant, taken) }))
  }

  #waitForTransit (): void {
    if (this.waits.waitForTransit(this.parts.placement.patienceUntil)) return
    this.parts.end.refuse('deadline-unreachable', 503, 'too many bytes are in transit to the endpoints', this.request.route.targetLatencyMs)
  }

  /** Sends the request to the endpoint at which the leader granted it capacity, without another admission check. */
  #useGrant ({ ticket, endpoint }: UsableGrant, reservation: TakenReservation | undefined): void {
    const isUsable = !this.parts.end.isDone && this.ports.waiting?.isGranted(ticket) === true && this.#queue.takeBudget()
    const attempt = isUsable ? this.#openGranted(endpoint) : undefined
    this.ports.waiting?.settle(ticket, attempt !== undefined)
    if (attempt === undefined) {
      reservation?.release()
      // The leader grants another endpoint next.
      if (!this.parts.end.isDone && !this.parts.otherHosts.takeIfOutOfReach()) this.#waitInQueue()
      return
    }
    this.parts.end.logDecision('granted', { endpoint: attempt.choice.endpoint.id, hasReservation: reservation !== undefined, waitedMs: Math.round(performance.now() - this.request.arrivedAt) })
    this.task.send(attempt, false, reservation?.id)
  }

  #openGranted (endpoint: string): RoutedAttempt | undefined {
    if (this.#refuseIfQuarantined() || this.#refuseIfStopping() || this.ports.fleet.links.isCutOff(this.request.service.name)) return undefined
    this.parts.prompt?.forgetPlans()
    const choice = this.parts.placement.chooseGranted(endpoint)
    if (typeof choice !== 'string') return this.parts.otherHosts.takeIfNewConnectionsFail(choice.endpoint) ? undefined : this.task.open(choice)
    if (this.parts.placement.isTransitBounded) this.#queue.postpone()
    return undefined
  }

  /** Refuses a request that can't be finished before this host stops, also one that was waiting when the stop began. */
  #refuseIfStopping (): boolean {
    if (this.parts.attempts.mayHaveRun || this.parts.exchange.hasHead || this.parts.placement.canFinishBeforeStop) return false
    this.parts.end.refuse('draining', 503, 'this host is stopping and could not finish it; ask another')
    return true
  }

  #retryFromQueue (): void {
    if (this.parts.end.isDone) return
    this.parts.prompt?.forgetPlans()
    this.#sendToNextEndpoint()
  }

  /**
   * Refuses a request that is known to crash endpoints. This is checked before every send, so that waiting
   * requests and retries are stopped as well: each send would end an endpoint with all requests that run there.
   */
  #refuseIfQuarantined (): boolean {
    const rejection = this.parts.guard.rejection(performance.now())
    if (rejection !== undefined) this.parts.end.refuse('request-quarantined', 503, rejection.detail, rejection.forMs)
    return rejection !== undefined
  }

  /** Waits if an endpoint that is held back is released in time. Otherwise refuses at once, with the time to retry, or aborts a stream that has begun. */
  #endWithoutEndpoint (reason: PlacementFailure): void {
    if (reason === 'all-full') return this.#queue.isEnabled ? this.#waitInQueue() : this.#waitForTransit()
    // A request that waits already is placed by a grant, or refused when its caller waits no longer.
    if (this.#queue.isWaiting) return
    const releaseAt = this.parts.placement.releasedAt(reason)
    if (this.parts.relay.canResumeStream) {
      if (!this.#waitToResume(Number.isFinite(releaseAt) ? releaseAt : 0)) this.parts.end.abort('no-endpoint', reason)
      return
    }
    const isUnreachable = this.task.lastFailure() === 'not-connected'
    if (isUnreachable && this.parts.otherHosts.takeIfUnreachable()) return
    // With the queue of all hosts, requests wait as long as their callers do.
    const { arrivedAt, route } = this.request
    const waitsUntil = this.#queue.isEnabled ? this.parts.placement.patienceUntil : Math.min(this.deadline, arrivedAt + route.targetLatencyMs)
    if (this.waits.waitForRelease(releaseAt, waitsUntil) || (isUnreachable && this.parts.otherHosts.returnIfUnreachable())) return
    this.parts.end.refuse('no-endpoint', 503, `no endpoint of ${this.request.service.name}: ${reason}`, Number.isFinite(releaseAt) ? releaseAt - performance.now() : 0)
  }

  /** Places the request with a new plan for the stores, because they may hold more parts by now. */
  #retryPlacement (): void {
    if (this.parts.end.isDone) return
    this.parts.prompt?.forgetPlans()
    this.placeNext()
  }

  #waitToResume (until: number): boolean {
    this.parts.placement.tried.allowAgain(undefined)
    return this.waits.waitToResume(Math.max(until, this.parts.placement.tried.retryAt), this.parts.placement.callerTimeoutAt)
  }
}
