/**
 * Handles one routed request: chooses an endpoint, forwards the response, and retries
 * at another endpoint where that is allowed. The bodies of request and response are
 * not inspected, except for the event ids of a resumable stream.
 */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { refuse, type RefusalReason } from '@eelgrassmux/schema/Refusal'
import type { DecisionEvent, DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { stopDecisions } from '@eelgrassmux/telemetry/events/stopDecisions'
import { QuarantineGuard, type SharedPromptParts } from '../quarantine/QuarantineGuard.js'
import { RequestRelay } from '../relays/RequestRelay.js'
import type { UsableGrant } from '../waiting/WaitingExchange.js'
import { ResponseRelay } from './ResponseRelay.js'
import { bodyFraming } from './responseBody.js'
import { ResponseTimes } from './ResponseTimes.js'
import { AttemptFailures } from './AttemptFailures.js'
import { AttemptRecord } from './AttemptRecord.js'
import { AttemptSender } from './AttemptSender.js'
import type { CallerExchange } from './CallerExchange.js'
import { describePlacement } from './describePlacement.js'
import { learnFromFirstEvent } from './learnFromFirstEvent.js'
import { learnFromHead } from './learnFromHead.js'
import { PlacementWaits } from './PlacementWaits.js'
import { QueuedPlacement } from './QueuedPlacement.js'
import { retryAfterSecondsFor } from './retryAfterSecondsFor.js'
import { PromptContext } from './PromptContext.js'
import { RequestPlacement, type PlacementFailure, type TakenReservation } from './RequestPlacement.js'
import { RetryReservation, type RetryReservationOutcome } from './RetryReservation.js'
import type { ResponseHead, RoutedAttempt } from './RoutedAttempt.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'
import { SILENCE_CHECK_INTERVAL_MS, SilenceFailover } from './SilenceFailover.js'
import type { SlowReaderDetails } from './SlowReaders.js'
import { StreamPauses } from './StreamPauses.js'

/** Statuses from which callers conclude that the request was not executed. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Time after the deadline in which a response whose head has arrived may complete, in milliseconds; a response that is not nearly complete is ended. */
const RESPONSE_COMPLETION_MS = 20

/** Time for which the origin of a stream is kept after its caller's deadline, in milliseconds. */
const ORIGIN_MARGIN_MS = 1000

/** Runs one request until its response is complete, refused or aborted. */
export class RoutedRequestTask {
  readonly #attempts = new AttemptRecord()
  readonly #deadline: number
  #attempt: RoutedAttempt | undefined
  readonly #relay: ResponseRelay
  #timer: NodeJS.Timeout | undefined
  readonly #failover: SilenceFailover
  readonly #retries: RetryReservation
  readonly #sender: AttemptSender
  readonly #prompt: PromptContext | undefined
  readonly #placement: RequestPlacement
  readonly #failures: AttemptFailures
  #isDone = false
  #lastFailure: AttemptFailure | undefined
  #nextStandbyRequestAt = Number.NEGATIVE_INFINITY
  readonly #waits: PlacementWaits
  readonly #queue: QueuedPlacement
  readonly #otherHosts: RequestRelay
  readonly #guard: QuarantineGuard
  readonly #times: ResponseTimes
  readonly #pauses: StreamPauses

  /**
   * @param request - request to handle
   * @param exchange - connection to the caller
   * @param ports - dependencies
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly exchange: CallerExchange,
    private readonly ports: RoutedPorts
  ) {
    const limitMs = Math.min(request.route.timeoutMs, request.fields.deadlineMs ?? Number.POSITIVE_INFINITY)
    this.#deadline = request.arrivedAt + limitMs
    this.#prompt = PromptContext.of(request, ports)
    this.#times = new ResponseTimes(request, ports)
    this.#pauses = new StreamPauses(ports.fleet, request)
    this.#placement = new RequestPlacement(request, ports, this.#prompt, this.#times, this.#deadline)
    const { method = 'GET', url: target = '/' } = exchange.request
    const sharedParts = sharedPartsOf(request)
    this.#guard = new QuarantineGuard(request.service.name, { customer: request.customer?.name, method, target, body: request.body }, ports.quarantine, sharedParts)
    this.#failures = new AttemptFailures(ports.fleet, {
      attempts: this.#attempts, tried: this.#placement.tried, guard: this.#guard, times: this.#times, sharedParts: sharedParts?.ids ?? [], deadline: this.#deadline, log: details => { this.#logDecision('attempt-failed', details) }
    })
    this.#waits = new PlacementWaits({
      retryPlacement: () => { this.#retryPlacement() },
      logWait: details => { this.#logDecision('waits-for-room', details) },
      logResumption: details => { this.#logDecision('waits-to-resume', details) }
    })
    this.#retries = new RetryReservation(request, ports, this.#attempts, {
      budgetUsedUp: failure => { this.#logDecision('retry-budget-used-up', { failure }) },
      granted: fields => { this.#logDecision('retry-granted', fields) },
      denied: fields => { this.#logDecision('retry-denied', fields) }
    })
    this.#queue = new QueuedPlacement(request, ports, this.#placement, {
      granted: grant => { this.#takeGrant(grant) },
      retry: () => { this.#retryFromQueue() },
      refused: retryAfterMs => { this.#refuse('deadline-unreachable', 503, 'the requests that go first leave no capacity within the time that callers wait', retryAfterMs) },
      expired: () => { this.#refuse('deadline-unreachable', 503, 'no endpoint had capacity within the time that callers wait') }
    }, details => { this.#logDecision('waits-in-order', details) })
    this.#otherHosts = new RequestRelay(request, exchange, ports, this.#attempts, {
      isDone: () => this.#isDone,
      leaveEndpoints: () => { this.#leaveEndpoints() },
      logRelayed: details => { this.#logDecision('relayed', details) },
      logRefused: details => { this.#logDecision('relay-refused', details) },
      refuse: detail => { this.#refuse('endpoints-out-of-reach', 503, detail) },
      lost: detail => { this.#refuse('endpoint-failed', 502, detail) },
      complete: (host, status) => { this.#endAtOtherHost(host, status) }
    })
    this.#failover = new SilenceFailover(ports.silenceChecks, {
      shouldOpenStandby: () => this.#shouldOpenStandby(),
      isSilent: () => this.#isEndpointSilent(),
      canContinueAt: standby => this.#placement.canContinueAt(standby.choice),
      withRecentLoad: place => { ports.withRecentLoad(place) },
      open: () => this.#openStandby(),
      send: attempt => { this.#send(attempt, false) },
      replace: standby => { this.#replaceAttempt(standby) }
    })
    this.#sender = new AttemptSender(request, exchange, ports, this.#prompt, {
      sending: () => { this.#attempts.recordRun() },
      head: (attempt, head, resume) => { this.#onHead(attempt, head, resume) },
      data: (attempt, chunk) => this.#onData(attempt, chunk),
      complete: attempt => { this.#onComplete(attempt) },
      failed: (attempt, failure, detail, head) => {
        if (head?.fields.isNotExecuted === false) this.ports.responseEnds.count(`${bodyFraming(head.headers)}-broken`)
        this.#onFailure(attempt, failure, detail, head)
      },
      unread: (attempt, bytes) => this.#countUnread(attempt, bytes)
    })
    this.#relay = new ResponseRelay(exchange, { isStream: request.route.kind === 'stream', isResumable: request.route.isResumable, lastEventId: request.fields.lastEventId })
  }

  /** Starts the request. All further steps are driven by timers and socket events. */
  start (): void {
    this.#timer = setTimeout(() => { this.#onTimeout() }, Math.max(0, this.#deadline - performance.now()))
    this.exchange.onCallerLeft(() => { this.#onCallerLeft() })
    const reader = this.ports.slowReaders?.open('caller', this.#customerName, details => { this.#cutSlowCaller(details) })
    if (reader !== undefined) this.exchange.countUnread(reader)
    this.#placeNext()
  }

  /**
   * Logs a decision that the stop of this host takes about this request.
   *
   * @param event - name of the log event
   * @param details - fields of the log event
   */
  logStop<Event extends keyof typeof stopDecisions> (event: Event, details: DecisionFields<Event>): void {
    this.#logDecision(event, { ...details, elapsedMs: Math.round(performance.now() - this.request.arrivedAt), sends: this.#attempts.sends, hadEvents: this.#times.hasFirstEvent })
  }

  /**
   * Ends the request because the process is about to be killed. A caller that has no
   * response yet gets a refusal; a response that has begun is aborted, so that the
   * caller can tell that it is incomplete.
   *
   * @param sinceSignalMs - milliseconds since the stop began
   */
  endForStop (sinceSignalMs: number): void {
    if (this.#isDone) return
    this.logStop('cut-by-stop', { sinceSignalMs: Math.round(sinceSignalMs), endpoint: this.#attempt?.choice.endpoint.id ?? '' })
    this.#cancelAttempt(undefined)
    if (this.exchange.hasHead) return this.#abort('stop')
    this.#refuse(this.#attempts.mayHaveRun ? 'endpoint-failed' : 'draining', 503, 'this host had to stop before the answer was there')
  }

  // --- Attempts ---

  /** Chooses an endpoint and sends the request there, once the load of the other hosts is known. */
  #placeNext (): void {
    this.ports.withRecentLoad(() => { if (!this.#isDone) this.#sendToNextEndpoint() })
  }

  #sendToNextEndpoint (): void {
    if (this.#refuseIfQuarantined() || this.#refuseIfStopping() || this.#otherHosts.takeIfOutOfReach()) return
    const choice = this.#placement.choose()
    if (typeof choice === 'string') return this.#endWithoutEndpoint(choice)
    const admission = this.#placement.admit(choice)
    if (admission.kind === 'wait') return this.#queue.isEnabled ? this.#waitInQueue() : this.#waits.waitForMemory(choice)
    if (admission.kind === 'refuse') return this.#refuse('deadline-unreachable', 503, admission.detail, admission.returnAfterMs)
    if (this.#otherHosts.takeIfNewConnectionsFail(choice.endpoint)) return
    if (!this.#queue.takeBudget()) return this.#waitInQueue()
    const attempt = this.#open(choice)
    if (attempt === undefined) return this.#sendToNextEndpoint()
    this.#sendFirst(attempt, admission.isExpectedLate)
  }

  #sendFirst (attempt: RoutedAttempt, isExpectedLate: boolean, reservation?: string): void {
    this.#queue.leave()
    this.#attempt = attempt
    this.#send(attempt, isExpectedLate, reservation)
    if (this.#relay.canResume || this.request.route.kind === 'safe') this.#failover.watch()
  }

  // --- Queue of all hosts ---

  #waitInQueue (): void {
    if (this.#queue.isBudgetExhausted) return this.#refuse('endpoint-refused', 503, 'an endpoint rejected it, and the budget for repeats is used up')
    const outcome = this.#queue.wait()
    if (outcome === 'full') this.#refuse('deadline-unreachable', 503, 'too many requests wait at this host', this.request.route.targetLatencyMs)
    if (outcome === 'no-candidates') this.#endWithoutEndpoint(this.#placement.failureWithoutQueue)
  }

  /** Uses a grant of the leader; at an engine that was reserved, after taking the engine's own reservation. */
  #takeGrant (grant: UsableGrant): void {
    const reservation = grant.wasReserved ? this.#placement.reserve(grant.endpoint) : undefined
    if (reservation === undefined) this.#useGrant(grant, undefined)
    else void reservation.then(taken => { this.#useGrant(grant, taken) })
  }

  #waitForTransit (): void {
    if (this.#waits.waitForTransit(this.#placement.patienceUntil)) return
    this.#refuse('deadline-unreachable', 503, 'too many bytes are in transit to the endpoints', this.request.route.targetLatencyMs)
  }

  /** Sends the request to the endpoint at which the leader granted it capacity, without another admission check. */
  #useGrant ({ ticket, endpoint }: UsableGrant, reservation: TakenReservation | undefined): void {
    const isUsable = !this.#isDone && this.ports.waiting?.isGranted(ticket) === true && this.#queue.takeBudget()
    const attempt = isUsable ? this.#openGranted(endpoint) : undefined
    this.ports.waiting?.settle(ticket, attempt !== undefined)
    if (attempt === undefined) {
      reservation?.release()
      // The leader grants another endpoint next.
      if (!this.#isDone && !this.#otherHosts.takeIfOutOfReach()) this.#waitInQueue()
      return
    }
    this.#logDecision('granted', { endpoint: attempt.choice.endpoint.id, hasReservation: reservation !== undefined, waitedMs: Math.round(performance.now() - this.request.arrivedAt) })
    this.#sendFirst(attempt, false, reservation?.id)
  }

  #openGranted (endpoint: string): RoutedAttempt | undefined {
    if (this.#refuseIfQuarantined() || this.#refuseIfStopping() || this.ports.fleet.links.isCutOff(this.request.service.name)) return undefined
    this.#prompt?.forgetPlans()
    const choice = this.#placement.chooseGranted(endpoint)
    if (typeof choice !== 'string') return this.#otherHosts.takeIfNewConnectionsFail(choice.endpoint) ? undefined : this.#open(choice)
    if (this.#placement.isTransitBounded) this.#queue.postpone()
    return undefined
  }

  /** Refuses a request that can't be finished before this host stops, also one that was waiting when the stop began. */
  #refuseIfStopping (): boolean {
    if (this.#attempts.mayHaveRun || this.exchange.hasHead || this.#placement.canFinishBeforeStop) return false
    this.#refuse('draining', 503, 'this host is stopping and could not finish it; ask another')
    return true
  }

  #retryFromQueue (): void {
    if (this.#isDone) return
    this.#prompt?.forgetPlans()
    this.#sendToNextEndpoint()
  }

  /**
   * Places a call again that a full endpoint has rejected. The rejection costs the call nothing but time: it counts as no
   * attempt, and the endpoint may get the call again.
   */
  #placeAfterRejection ({ choice: { endpoint } }: RoutedAttempt): void {
    const { fleet, waiting } = this.ports
    const now = performance.now()
    // The rejection itself states how many calls were there; the load that hosts report lags behind.
    const occupancy = Math.max(fleet.occupancyOf(endpoint), endpoint.occupancy(now).total)
    fleet.plainPlaces.recordRejection(endpoint.incarnation, occupancy, now)
    waiting?.recordRejection({ endpoint: endpoint.incarnation, occupancy })
    this.#attempts.discountSend()
    this.#placement.tried.forget(endpoint.id)
    this.#queue.requireBudget()
    this.#placeNext()
  }

  #open (choice: EndpointChoice): RoutedAttempt | undefined {
    const { endpoint } = choice
    this.#placement.tried.add(endpoint.id)
    const attempt = this.#sender.open(choice)
    if (attempt === undefined) this.#logDecision('connections-used-up', { endpoint: endpoint.id, open: this.ports.fleet.connectionsTo(endpoint).count })
    return attempt
  }

  #send (attempt: RoutedAttempt, isExpectedLate: boolean, reservation?: string): void {
    this.#attempts.recordSend()
    if (this.ports.stop.isStopping) this.logStop('taken-while-stopping', { sinceSignalMs: Math.round(this.ports.stop.sinceSignalMs), isFirstOnConnection: this.exchange.isFirstOnConnection })
    const { lastEventId } = this.#relay
    if (lastEventId !== undefined) this.#logResumption(attempt, lastEventId)
    this.#sender.send(attempt, { lastEventId, deadline: this.#deadline, isExpectedLate, reservation })
  }

  #logResumption ({ choice: { endpoint } }: RoutedAttempt, lastEventId: number): void {
    const { resumes } = this.request.fields
    const by = this.#times.hasFirstEvent ? 'host' : 'caller'
    this.ports.resumptions.count(by)
    this.#logDecision('resumes-stream', { endpoint: endpoint.id, software: endpoint.listed.software ?? '', lastEventId, by, ...(resumes === undefined ? {} : { resumes }) })
  }

  /**
   * Refuses a request that is known to crash endpoints. This is checked before every send, so that waiting
   * requests and retries are stopped as well: each send would end an endpoint with all requests that run there.
   */
  #refuseIfQuarantined (): boolean {
    const rejection = this.#guard.rejection(performance.now())
    if (rejection !== undefined) this.#refuse('request-quarantined', 503, rejection.detail, rejection.forMs)
    return rejection !== undefined
  }

  /** Waits if an endpoint that is held back is released in time. Otherwise refuses at once, with the time to retry, or aborts a stream that has begun. */
  #endWithoutEndpoint (reason: PlacementFailure): void {
    if (reason === 'all-full') return this.#queue.isEnabled ? this.#waitInQueue() : this.#waitForTransit()
    // A request that waits already is placed by a grant, or refused when its caller's patience is over.
    if (this.#queue.isWaiting) return
    const releaseAt = this.#placement.releasedAt(reason)
    if (this.#canResumeStream) {
      if (!this.#waitToResume(Number.isFinite(releaseAt) ? releaseAt : 0)) this.#abort('no-endpoint', reason)
      return
    }
    const isUnreachable = this.#lastFailure === 'not-connected'
    if (isUnreachable && this.#otherHosts.takeIfUnreachable()) return
    // With the queue of all hosts, requests wait as long as their callers do.
    const { arrivedAt, route } = this.request
    const waitsUntil = this.#queue.isEnabled ? this.#placement.patienceUntil : Math.min(this.#deadline, arrivedAt + route.targetLatencyMs)
    if (this.#waits.waitForRelease(releaseAt, waitsUntil) || (isUnreachable && this.#otherHosts.returnIfUnreachable())) return
    this.#refuse('no-endpoint', 503, `no endpoint of ${this.request.service.name}: ${reason}`, Number.isFinite(releaseAt) ? releaseAt - performance.now() : 0)
  }

  /** Places the request with a new plan for the stores, because they may hold more parts by now. */
  #retryPlacement (): void {
    if (this.#isDone) return
    this.#prompt?.forgetPlans()
    this.#placeNext()
  }

  #onHead (attempt: RoutedAttempt, head: ResponseHead, resume: () => void): void {
    const now = performance.now()
    learnFromHead(this.ports.fleet, attempt.choice.endpoint, this.request.fields.prompt?.model, head, now)
    this.ports.fleet.limits.observeAnswer(attempt.choice.endpoint, head, now)
    if (head.fields.isNotExecuted) {
      // The statement holds from now on, even if the rest of the response never arrives.
      this.#attempts.retractRun()
      return
    }
    if (this.#failover.isStandby(attempt) && !this.#failover.settle(this.#relay.canContinueWith(head))) return
    this.#relay.begin(head, resume)
  }

  #onData (attempt: RoutedAttempt, chunk: Buffer): boolean {
    if (this.#isDone) return true
    if (this.request.route.kind === 'stream') this.#noteEvent(attempt)
    const isReady = this.#relay.data(chunk)
    if (!this.#relay.isEventTooLong) return isReady
    attempt.cancel()
    this.#onFailure(attempt, 'lost', 'an event of the stream is too long', this.#relay.head)
    return true
  }

  #noteEvent (attempt: RoutedAttempt): void {
    this.#placement.tried.observeProgress()
    this.#guard.noteEvent()
    // A stream that continues needs no standby.
    this.#retries.cancelWait()
    this.#pauses.observeEvent(attempt.choice.endpoint, performance.now())
    if (!this.#times.recordEvent()) return
    this.#placement.requireSameAs(attempt.choice)
    this.#recordOrigin(attempt)
    if (attempt.choice.version !== undefined) learnFromFirstEvent(this.ports.fleet, this.request, attempt)
  }

  /** Records what began a stream, so that it goes on there if its caller takes it up at any host. */
  #recordOrigin ({ choice: { endpoint: { listed: { service, software } } } }: RoutedAttempt): void {
    const { id, route, fields, arrivedAt } = this.request
    if (!route.isResumable || fields.lastEventId !== undefined) return
    const callerLeavesAt = arrivedAt + (fields.deadlineMs ?? 2 * route.timeoutMs)
    const origin = software === undefined ? { service } : { service, software }
    this.ports.streams?.record({ id, route: route.name, origin, keepMs: callerLeavesAt - performance.now() + ORIGIN_MARGIN_MS })
  }

  #onComplete (attempt: RoutedAttempt): void {
    const { endpoint } = attempt.choice
    const { head } = this.#relay
    if (this.#isDone || head === undefined) return
    this.ports.responseEnds.count(`${this.#relay.framing}-${this.#relay.isInsideEvent ? 'inside-event' : 'complete'}`)
    const { fault } = this.#relay
    if (fault !== undefined) return this.#onFailure(attempt, fault.failure, fault.detail, head)
    const isFailure = head.status >= 500
    this.ports.fleet.traffic.observeAnswer(this.request.route.name, endpoint, attempt.answerBytes)
    this.ports.fleet.recordOutcome(endpoint, isFailure ? 'failure' : 'success')
    const passOn = (): void => { this.#passOnResponse(attempt, head, isFailure) }
    if (isFailure && !this.exchange.hasHead && (this.#switchToStandby() || this.#tryRetry('failed', passOn))) return
    passOn()
  }

  #passOnResponse (attempt: RoutedAttempt, head: ResponseHead, isFailure: boolean): void {
    const { endpoint } = attempt.choice
    if (NOT_EXECUTED_STATUSES.has(head.status)) {
      // The endpoint did not state that the request was not executed, but the caller would conclude that from the status.
      this.#refuse('endpoint-failed', 502, `the endpoint answered ${head.status} without saying that it did not run the request`)
      return
    }
    if (!isFailure) {
      this.#times.noteWhole()
      this.#guard.noteWhole()
    }
    if (this.request.route.kind !== 'stream') endpoint.observeLatency(attempt.ageMs)
    this.#end()
    if (this.ports.telemetry.isSampled(this.request.id)) {
      this.#logEnd('answered', { status: head.status, endpoint: endpoint.id, ...describePlacement(attempt.choice, this.request, this.#prompt, this.#times.firstEventMs) })
    }
    this.#relay.complete()
  }

  #onFailure (attempt: RoutedAttempt, failure: AttemptFailure, detail: string, head: ResponseHead | undefined): void {
    if (this.#isDone) return
    this.#failures.observe(attempt, failure, detail, head)
    this.#lastFailure = failure
    if (this.#failover.isStandby(attempt)) {
      this.#failover.takeStandby()
      return
    }
    this.#relay.dropIncomplete()
    if (this.#switchToStandby()) return
    // If the check went on until the next send, the endpoint's silence would count as a second failure and the request would be placed twice.
    this.#failover.stop()
    if (!this.#canGoOnElsewhere) return this.#abort(failure, detail)
    if (failure === 'rejected' && attempt.choice.version === undefined && this.#queue.isEnabled) return this.#placeAfterRejection(attempt)
    this.#retryOrGiveUp(failure, detail)
  }

  /** @returns whether a standby attempt was open and has become the current attempt */
  #switchToStandby (): boolean {
    const standby = this.#failover.takeStandby()
    if (standby === undefined) return false
    // The response may have begun after the standby was opened.
    if (!this.#placement.canContinueAt(standby.choice)) {
      standby.cancel()
      return false
    }
    this.#attempt = standby
    return true
  }

  #retryOrGiveUp (failure: AttemptFailure, detail: string): void {
    const giveUp = (): void => { this.#giveUp(failure, detail) }
    if (!this.#tryRetry(failure, giveUp)) giveUp()
  }

  /**
   * @param failure - how the last attempt failed
   * @param onDenied - called if the retry waited for a token in vain
   * @param mayAwaitToken - whether a retry that has no token may wait for one
   * @returns whether the request is retried or waits for that
   */
  #tryRetry (failure: AttemptFailure, onDenied: () => void, mayAwaitToken = true): boolean {
    const reservation = this.#reserveRetry(failure)
    if (reservation === 'no-budget') {
      return this.#canResumeStream ? this.#waitForBudget(failure) : mayAwaitToken && this.#awaitAnswer(failure, onDenied)
    }
    if (reservation !== 'reserved') return false
    this.ports.retries.count(failure)
    if (this.#canResumeStream && this.#placement.tried.retryAt > performance.now()) return this.#waits.waitToResume(this.#placement.tried.retryAt, this.#placement.callerTimeoutAt)
    this.#placeNext()
    return true
  }

  /** Waits until a stream that has begun gets a token. */
  #waitForBudget (failure: AttemptFailure): boolean {
    // New requests refill the budget in the meantime.
    const isWaiting = this.#waits.waitToResume(0, this.#placement.callerTimeoutAt, () => { if (!this.#isDone) this.#retryOrGiveUp(failure, 'the budget for repeats is used up') })
    if (isWaiting) this.#retries.awaitToken(true, () => { this.#waits.resumeNow() })
    return isWaiting
  }

  /** Waits for the leader's next answer, which may bring a token. */
  #awaitAnswer (failure: AttemptFailure, onDenied: () => void): boolean {
    const isWaiting = this.#retries.awaitToken(false, () => { if (!this.#isDone && !this.#tryRetry(failure, onDenied, false)) onDenied() })
    // The failed attempt must not open a standby during the wait, because the request would be placed twice.
    if (isWaiting) this.#failover.stop()
    return isWaiting
  }

  #reserveRetry (failure: AttemptFailure): RetryReservationOutcome {
    if (!this.exchange.hasHead && !this.#placement.canFinishBeforeStop) return 'not-allowed'
    return this.#retries.reserve(failure, this.#deadline - performance.now(), this.#canResumeStream)
  }

  /** Whether another endpoint's response could reach the caller: it has nothing yet, or part of a stream that may be resumed. */
  get #canGoOnElsewhere (): boolean { return !this.exchange.hasHead || this.#relay.canResume }

  /** Whether the caller has received part of a stream that may be resumed at another endpoint. */
  get #canResumeStream (): boolean { return this.exchange.hasHead && this.#relay.canResume }

  #waitToResume (until: number): boolean {
    this.#placement.tried.allowAgain(undefined)
    return this.#waits.waitToResume(Math.max(until, this.#placement.tried.retryAt), this.#placement.callerTimeoutAt)
  }

  // --- Failover ---

  #shouldOpenStandby (): boolean {
    return !this.#isDone && this.#canGoOnElsewhere && this.#attempts.runs < this.request.route.attempts && this.#isEndpointSilent()
  }

  /** Opens a standby attempt if another endpoint can take the request. Otherwise the request stays where it is, because silence alone is no reason to end a response. */
  #openStandby (): RoutedAttempt | undefined {
    const now = performance.now()
    if (this.#guard.rejection(now) !== undefined || now < this.#placement.tried.retryAt) return undefined
    const choice = this.#placement.choose()
    if (typeof choice === 'string') {
      if (this.#canResumeStream) this.#placement.tried.allowAgain(this.#attempt?.choice.endpoint.id)
      return undefined
    }
    const admission = this.#placement.admit(choice)
    if (admission.kind !== 'send') return undefined
    const reservation = this.#reserveRetry('broken-stream')
    if (reservation === 'no-budget') this.#awaitStandbyToken(now)
    if (reservation !== 'reserved') return undefined
    const standby = this.#open(choice)
    if (standby === undefined) {
      this.#retries.undo()
      return undefined
    }
    this.ports.retries.count('broken-stream')
    this.#logDecision('standby-opened', { endpoint: this.#attempt?.choice.endpoint.id ?? '', standby: choice.endpoint.id, hadEvents: this.#times.hasFirstEvent, remainingMs: Math.round(this.#deadline - now) })
    return standby
  }

  /** Asks for a token for the standby; the next check opens it if it still has to be opened. */
  #awaitStandbyToken (now: number): void {
    // An answer without a token leads to a check as well, which must not ask again at once.
    if (!this.#canResumeStream && now < this.#nextStandbyRequestAt) return
    this.#nextStandbyRequestAt = now + SILENCE_CHECK_INTERVAL_MS / 2
    this.#retries.awaitToken(this.#canResumeStream, () => { this.#failover.checkNow() })
  }

  #replaceAttempt (standby: RoutedAttempt): void {
    const replaced = this.#attempt
    this.#attempt = standby
    if (replaced === undefined) return
    replaced.cancel()
    this.#relay.dropIncomplete()
    this.#failures.observeSilence(replaced)
  }

  // --- Completion ---

  #giveUp (failure: AttemptFailure, detail: string): void {
    if (failure === 'not-connected' && (this.#otherHosts.takeIfUnreachable() || this.#otherHosts.returnIfUnreachable())) return
    if (this.exchange.hasHead) return this.#abort(failure, detail)
    if (this.#attempts.mayHaveRun) this.#refuse('endpoint-failed', 502, `the last attempt ended with ${failure}: ${detail}`)
    else this.#refuse('endpoint-refused', 503, `the last attempt ended with ${failure}: ${detail}`)
  }

  #onTimeout (): void {
    // Expired timers run before sockets are read, so a response that arrived before the deadline may not have been read yet.
    setImmediate(() => { this.#endAfterDeadline(true) })
  }

  /** @param mayFinish - whether a response that has begun gets {@link RESPONSE_COMPLETION_MS} to complete */
  #endAfterDeadline (mayFinish: boolean): void {
    if (this.#isDone) return
    if (mayFinish && (this.#attempt?.isAnswering === true || this.#otherHosts.isAnswering)) {
      this.#timer = setTimeout(() => { this.#endAfterDeadline(false) }, RESPONSE_COMPLETION_MS)
      return
    }
    // Some requests take longer than their route allows, so the endpoint is blamed only if it has stopped responding to all hosts.
    this.#cancelAttempt(this.#isEndpointSilent() ? 'unanswered' : undefined)
    if (this.exchange.hasHead) return this.#abort('timeout')
    if ((this.#attempts.sends > 0 || this.#queue.isEnabled) && !this.#attempts.mayHaveRun) this.#refuse('endpoint-refused', 503, 'the time of the request is over, and no endpoint has taken it')
    else this.#refuse('deadline-passed', 504, 'the time of the request is over')
  }

  #onCallerLeft (): void {
    if (this.#isDone) return
    const isSilent = this.#isEndpointSilent()
    this.#cancelAttempt(isSilent ? 'unanswered' : undefined)
    this.#finish('caller-left', { endpoint: this.#attempt?.choice.endpoint.id ?? '', isSilent, hadEvents: this.#times.hasFirstEvent })
  }

  #isEndpointSilent (): boolean {
    return this.#attempt !== undefined && this.ports.fleet.isSilent(this.#attempt.choice.endpoint)
  }

  /**
   * Cancels the current attempt.
   *
   * @param outcome - set if the endpoint has stopped responding to all hosts; it is then counted against the endpoint, unless a response head has come
   */
  #cancelAttempt (outcome: 'unanswered' | undefined): void {
    this.#otherHosts.cancel()
    const attempt = this.#attempt
    if (attempt === undefined) return
    const { endpoint } = attempt.choice
    if (outcome !== undefined) this.#failures.noteLost(attempt)
    if (outcome !== undefined && !attempt.hasHead) this.ports.fleet.recordOutcome(endpoint, outcome)
    attempt.cancel()
  }

  #abort (failure: string, detail = ''): void {
    this.#finish('broken-off', { endpoint: this.#attempt?.choice.endpoint.id ?? '', failure, detail })
    this.exchange.abort()
  }

  /** Ends the request of a caller that reads slowly. The endpoint may have answered completely already. */
  #cutSlowCaller (details: SlowReaderDetails): void {
    const fields = { ...details, endpoint: this.#attempt?.choice.endpoint.id ?? '' }
    if (this.#isDone) {
      this.#logEnd('slow-reader-cut', fields)
    } else {
      this.#cancelAttempt(undefined)
      this.#finish('slow-reader-cut', fields)
    }
    this.exchange.reset()
  }

  /** Counts bytes of the request that its endpoint has not taken. */
  #countUnread (attempt: RoutedAttempt, bytes: number): () => void {
    const reader = this.ports.slowReaders?.open('endpoint', this.#customerName, details => { this.#cutSlowEndpoint(attempt, details) })
    reader?.hold(bytes)
    return () => { reader?.close() }
  }

  #cutSlowEndpoint (attempt: RoutedAttempt, details: SlowReaderDetails): void {
    this.#logDecision('slow-reader-cut', { ...details, endpoint: attempt.choice.endpoint.id })
    attempt.cancel()
    if (this.#isDone) return
    if (this.#failover.isStandby(attempt)) {
      this.#failover.takeStandby()
      return
    }
    this.#relay.dropIncomplete()
    if (!this.#switchToStandby()) this.#refuse('endpoint-failed', 502, 'the endpoint read the request too slowly')
  }

  get #customerName (): string { return this.request.customer?.name ?? '' }

  #refuse (reason: RefusalReason, wantedStatus: number, detail: string, expectedFreeInMs = 0): void {
    // The caller already has part of a response, so no other status can be sent.
    if (this.exchange.hasHead) return this.#abort(reason, detail)
    // A 503 tells the caller that the request was not executed, so it is only sent if that is certain.
    const status = wantedStatus === 503 && this.#attempts.mayHaveRun ? 502 : wantedStatus
    const retryAfterSeconds = status === 503 ? retryAfterSecondsFor(reason, expectedFreeInMs, this.#deadline - performance.now()) : undefined
    const refusal = refuse({ reason, status, detail, ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }) }, this.#attempts.dispatch)
    this.ports.refusals.count(reason)
    this.#finish('refused', { reason, status, run: refusal.run, detail, retryAfterSeconds: retryAfterSeconds ?? 0 })
    this.exchange.refuse(refusal)
  }

  #finish<Event extends DecisionEvent> (outcome: Event, details: DecisionFields<Event>): void {
    this.#end()
    this.#logEnd(outcome, details)
  }

  #end (): void {
    this.#isDone = true
    clearTimeout(this.#timer)
    this.#leaveEndpoints()
  }

  #leaveEndpoints (): void {
    this.#queue.leave()
    this.#failover.end()
    this.#retries.cancelWait()
  }

  #endAtOtherHost (host: string, status: number): void {
    this.#end()
    if (this.ports.telemetry.isSampled(this.request.id)) this.#logEnd('relay-answered', { host, status })
  }

  #logEnd<Event extends DecisionEvent> (outcome: Event, details: DecisionFields<Event>): void {
    this.#logDecision(outcome, { ...details, elapsedMs: Math.round(performance.now() - this.request.arrivedAt), sends: this.#attempts.sends, runs: this.#attempts.runs })
  }

  #logDecision<Event extends DecisionEvent> (event: Event, details: DecisionFields<Event>): void {
    const { route, service, siteVersion } = this.request
    this.ports.telemetry.logDecision(event, this.request.id, { route: route.name, service: service.name, siteVersion, ...details })
  }
}

/** Returns the parts of the prompt that other requests may have as well; the last part is the request's own. */
function sharedPartsOf ({ fields: { prompt } }: RoutedRequest): SharedPromptParts | undefined {
  if (prompt === undefined || prompt.parts.length < 2) return undefined
  return { model: prompt.model, ids: prompt.parts.slice(0, -1).map(({ id }) => id) }
}
