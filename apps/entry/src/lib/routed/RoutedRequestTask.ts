/**
 * Handles one routed request: chooses an endpoint, forwards the response, and retries
 * at another endpoint where that is allowed. The bodies of request and response are
 * not inspected, except for the event ids of a resumable stream.
 */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { NOT_RUN_STATUSES } from '@eelgrassmux/schema/Refusal'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { stopDecisions } from '@eelgrassmux/telemetry/events/stopDecisions'
import { FaultBoundary } from '../faults/RequestFaults.js'
import { QuarantineGuard, type SharedPromptParts } from '../quarantine/QuarantineGuard.js'
import { RequestRelay } from '../relays/RequestRelay.js'
import { ResponseRelay } from './ResponseRelay.js'
import type { CutResponseDetails } from './ResponseMemory.js'
import { bodyFraming } from './responseBody.js'
import { ResponseTimes } from './ResponseTimes.js'
import { AttemptFailures } from './AttemptFailures.js'
import { AttemptRecord } from './AttemptRecord.js'
import { AttemptSender } from './AttemptSender.js'
import type { CallerExchange } from './CallerExchange.js'
import { describePlacement } from './describePlacement.js'
import { learnFromFirstEvent } from './learnFromFirstEvent.js'
import { learnFromHead } from './learnFromHead.js'
import { EndpointSearch } from './EndpointSearch.js'
import { PromptContext } from './PromptContext.js'
import { RequestEnd } from './RequestEnd.js'
import { RequestRetries } from './RequestRetries.js'
import { RequestPlacement } from './RequestPlacement.js'
import type { ResponseHead, RoutedAttempt } from './RoutedAttempt.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'
import { SilenceFailover } from './SilenceFailover.js'
import type { SlowReaderDetails } from './SlowReaders.js'
import { StandbyPlacement } from './StandbyPlacement.js'
import { StreamPauses } from './StreamPauses.js'
import { UnfinishedResponse } from './UnfinishedResponse.js'

/** Time after the deadline in which a response whose head has arrived may complete, in milliseconds; a response that is not nearly complete is ended. */
const RESPONSE_COMPLETION_MS = 20

/** Time for which the origin of a stream is kept after its caller's deadline, in milliseconds. */
const ORIGIN_MARGIN_MS = 1000

/** Runs one request until its response is complete, refused or aborted. */
export class RoutedRequestTask {
  readonly #attempts = new AttemptRecord()
  /** Runs all steps of the request that timers, connections and other parts of this host call. */
  readonly #steps: FaultBoundary
  readonly #deadline: number
  #attempt: RoutedAttempt | undefined
  readonly #relay: ResponseRelay
  #timer: NodeJS.Timeout | undefined
  readonly #failover: SilenceFailover
  readonly #retries: RequestRetries
  readonly #sender: AttemptSender
  readonly #prompt: PromptContext | undefined
  readonly #placement: RequestPlacement
  readonly #failures: AttemptFailures
  readonly #end: RequestEnd
  #lastFailure: AttemptFailure | undefined
  readonly #unfinished: UnfinishedResponse
  readonly #search: EndpointSearch
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
    this.#steps = new FaultBoundary(ports.faults, request.id, () => { this.#endAfterFault() })
    this.#end = new RequestEnd(request, exchange, ports, this.#attempts, this.#deadline, {
      endpoint: () => this.#attempt?.choice.endpoint.id ?? '',
      leave: () => {
        clearTimeout(this.#timer)
        this.#leaveEndpoints()
      }
    })
    this.#prompt = PromptContext.of(request, ports)
    this.#times = new ResponseTimes(request, ports)
    this.#pauses = new StreamPauses(ports.fleet, request)
    this.#unfinished = new UnfinishedResponse(ports.responseMemory, this.#steps.guard((attempt, details) => { this.#cutResponse(attempt, details) }))
    this.#relay = new ResponseRelay(exchange, { isStream: request.route.kind === 'stream', isResumable: request.route.isResumable, lastEventId: request.fields.lastEventId })
    this.#placement = new RequestPlacement(request, ports, this.#prompt, this.#times, this.#deadline)
    const { method = 'GET', url: target = '/' } = exchange.request
    const sharedParts = sharedPartsOf(request)
    this.#guard = new QuarantineGuard(request.service.name, { customer: request.customer?.name, method, target, body: request.body }, ports.quarantine, sharedParts)
    this.#failures = new AttemptFailures(ports.fleet, {
      attempts: this.#attempts, tried: this.#placement.tried, guard: this.#guard, times: this.#times, sharedParts: sharedParts?.ids ?? [], deadline: this.#deadline, log: details => { this.#end.logDecision('attempt-failed', details) }
    })
    this.#otherHosts = new RequestRelay(request, exchange, ports, this.#attempts, this.#steps, {
      isDone: () => this.#end.isDone,
      leaveEndpoints: () => { this.#leaveEndpoints() },
      logRelayed: details => { this.#end.logDecision('relayed', details) },
      logRefused: details => { this.#end.logDecision('relay-refused', details) },
      refuse: detail => { this.#end.refuse('endpoints-out-of-reach', 503, detail) },
      lost: detail => { this.#end.refuse('endpoint-failed', 502, detail) },
      complete: (host, status) => { this.#endAtOtherHost(host, status) }
    })
    this.#search = new EndpointSearch(request, ports, this.#deadline, { attempts: this.#attempts, placement: this.#placement, prompt: this.#prompt, guard: this.#guard, relay: this.#relay, otherHosts: this.#otherHosts, exchange, end: this.#end, steps: this.#steps }, {
      open: choice => this.#open(choice),
      send: (attempt, isExpectedLate, reservation) => { this.#sendFirst(attempt, isExpectedLate, reservation) },
      lastFailure: () => this.#lastFailure
    })
    this.#retries = new RequestRetries(request, ports, this.#deadline, { attempts: this.#attempts, placement: this.#placement, waits: this.#search.waits, relay: this.#relay, exchange, end: this.#end, steps: this.#steps }, {
      placeNext: () => { this.#search.placeNext() },
      stopFailover: () => { this.#failover.stop() },
      giveUp: (failure, detail) => { this.#giveUp(failure, detail) }
    })
    const standbys = new StandbyPlacement(request, this.#deadline, { attempts: this.#attempts, placement: this.#placement, guard: this.#guard, times: this.#times, relay: this.#relay, retries: this.#retries, end: this.#end, steps: this.#steps }, {
      current: () => this.#attempt,
      detectSilence: () => this.#detectSilence(),
      open: choice => this.#openStandby(choice),
      checkNow: () => { this.#failover.checkNow() }
    })
    this.#failover = new SilenceFailover(ports.silenceChecks, {
      shouldOpenStandby: () => this.#steps.run(() => standbys.shouldOpen(), false),
      isSilent: () => this.#steps.run(() => this.#detectSilence(), false),
      canContinueAt: standby => this.#steps.run(() => this.#placement.canContinueAt(standby.choice), false),
      withRecentLoad: place => { ports.withRecentLoad(this.#steps.guard(place)) },
      open: () => this.#steps.run(() => standbys.open(), undefined),
      send: this.#steps.guard(attempt => { this.#send(attempt, false) }),
      replace: this.#steps.guard(standby => { this.#replaceAttempt(standby) })
    })
    this.#sender = new AttemptSender(request, exchange, ports, this.#prompt, {
      sending: () => this.#steps.run(() => this.#beginSend(), false),
      head: this.#steps.guard((attempt, head, resume) => { this.#onHead(attempt, head, resume) }),
      data: (attempt, chunk) => this.#steps.run(() => this.#onData(attempt, chunk), true),
      complete: this.#steps.guard(attempt => { this.#onComplete(attempt) }),
      failed: this.#steps.guard((attempt, failure, detail, head) => {
        if (head?.fields.isNotExecuted === false) this.ports.responseEnds.count(`${bodyFraming(head.headers)}-broken`)
        this.#onFailure(attempt, failure, detail, head)
      }),
      unread: (attempt, bytes) => this.#steps.run(() => this.#countUnread(attempt, bytes), () => {})
    })
  }

  /** Starts the request. All further steps are driven by timers and socket events. */
  start (): void {
    this.#timer = setTimeout(this.#steps.guard(() => { this.#onTimeout() }), Math.max(0, this.#deadline - performance.now()))
    this.exchange.onCallerLeft(this.#steps.guard(() => { this.#onCallerLeft() }))
    this.#steps.run(() => {
      this.#countSlowCaller()
      this.#search.placeNext()
    }, undefined)
  }

  /**
   * Logs a decision that the stop of this host takes about this request.
   *
   * @param event - name of the log event
   * @param details - fields of the log event
   */
  logStop<Event extends keyof typeof stopDecisions> (event: Event, details: DecisionFields<Event>): void {
    this.#end.logDecision(event, { ...details, elapsedMs: Math.round(performance.now() - this.request.arrivedAt), sends: this.#attempts.sends, hadEvents: this.#times.hasFirstEvent })
  }

  /**
   * Ends the request because the process is about to be killed. A caller that has no
   * response yet gets a refusal; a response that has begun is aborted, so that the
   * caller can tell that it is incomplete.
   *
   * @param sinceSignalMs - milliseconds since the stop began
   */
  endForStop (sinceSignalMs: number): void {
    this.#steps.run(() => { this.#endForStop(sinceSignalMs) }, undefined)
  }

  #endForStop (sinceSignalMs: number): void {
    if (this.#end.isDone) return
    this.logStop('cut-by-stop', { sinceSignalMs: Math.round(sinceSignalMs), endpoint: this.#attempt?.choice.endpoint.id ?? '' })
    this.#cancelAttempt(undefined)
    if (this.exchange.hasHead) return this.#end.abort('stop')
    this.#end.refuse(this.#attempts.mayHaveRun ? 'endpoint-failed' : 'draining', 503, 'this host had to stop before the answer was there')
  }

  // --- Attempts ---

  #sendFirst (attempt: RoutedAttempt, isExpectedLate: boolean, reservation?: string): void {
    this.#search.leaveQueue()
    this.#attempt = attempt
    this.#send(attempt, isExpectedLate, reservation)
    if (this.#relay.canResume || this.request.route.kind === 'safe') this.#failover.watch()
  }

  #openStandby (choice: EndpointChoice): RoutedAttempt | undefined {
    return this.#open(choice, this.#attempt === undefined ? undefined : this.ports.fleet.silentConnections.observeSilence(this.#attempt.choice.endpoint, performance.now()))
  }

  #open (choice: EndpointChoice, usedSince?: number): RoutedAttempt | undefined {
    const { endpoint } = choice
    this.#placement.tried.add(endpoint.id)
    const attempt = this.#sender.open(choice, usedSince)
    if (attempt === undefined) this.#end.logDecision('connections-used-up', { endpoint: endpoint.id, open: this.ports.fleet.connectionsTo(endpoint).count })
    return attempt
  }

  #send (attempt: RoutedAttempt, isExpectedLate: boolean, reservation?: string): void {
    this.#attempts.recordSend()
    if (this.ports.stop.isStopping) this.logStop('taken-while-stopping', { sinceSignalMs: Math.round(this.ports.stop.sinceSignalMs), isFirstOnConnection: this.exchange.isFirstOnConnection })
    const { lastEventId } = this.#relay
    if (lastEventId !== undefined) this.#logResumption(attempt, lastEventId)
    this.#sender.send(attempt, { lastEventId, deadline: this.#deadline, isExpectedLate, reservation })
  }

  /** The last check before bytes of the request leave: no promise has been given, and no other send may have been executed unless it may be repeated. */
  #beginSend (): boolean {
    const maySend = !this.#end.isDone && this.#attempts.maySend(this.request.route)
    if (maySend) this.#attempts.recordRun()
    else this.#end.logDecision('send-withheld', { hasEnded: this.#end.isDone, sends: this.#attempts.sends, runs: this.#attempts.runs })
    return maySend
  }

  #logResumption ({ choice: { endpoint } }: RoutedAttempt, lastEventId: number): void {
    const { resumes } = this.request.fields
    const by = this.#times.hasFirstEvent ? 'host' : 'caller'
    this.ports.resumptions.count(by)
    this.#end.logDecision('resumes-stream', { endpoint: endpoint.id, software: endpoint.listed.software ?? '', lastEventId, by, ...(resumes === undefined ? {} : { resumes }) })
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
    if (this.#end.isDone) return true
    if (this.request.route.kind === 'stream') this.#noteEvent(attempt)
    const isReady = this.#relay.data(chunk)
    const { excess } = this.#relay
    if (excess === undefined) {
      this.#unfinished.update(attempt, this.#relay.keptBytes)
      return isReady
    }
    attempt.cancel()
    this.#onFailure(attempt, excess.failure, excess.detail, this.#relay.head)
    return true
  }

  #dropIncomplete (): void {
    this.#relay.dropIncomplete()
    this.#unfinished.close()
  }

  #cutResponse (attempt: RoutedAttempt, details: CutResponseDetails): void {
    if (this.#end.isDone) return
    const isPassedOn = this.#relay.passOnUnfinished()
    this.#end.logDecision('response-cut', details)
    if (isPassedOn) return
    attempt.cancel()
    this.#onFailure(attempt, 'lost', 'unfinished responses of its endpoint occupied too much memory', this.#relay.head)
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
    if (this.#end.isDone || head === undefined) return
    this.ports.responseEnds.count(`${this.#relay.framing}-${this.#relay.isInsideEvent ? 'inside-event' : 'complete'}`)
    const { fault } = this.#relay
    if (fault !== undefined) return this.#onFailure(attempt, fault.failure, fault.detail, head)
    const isFailure = head.status >= 500
    this.ports.fleet.traffic.observeAnswer(this.request.route.name, endpoint, attempt.answerBytes)
    this.ports.fleet.recordOutcome(endpoint, isFailure ? 'failure' : 'success')
    const passOn = (): void => { this.#passOnResponse(attempt, head, isFailure) }
    if (isFailure && !this.exchange.hasHead && (this.#switchToStandby() || this.#retries.tryRetry('failed', passOn))) return
    passOn()
  }

  #passOnResponse (attempt: RoutedAttempt, head: ResponseHead, isFailure: boolean): void {
    const { endpoint } = attempt.choice
    if (NOT_RUN_STATUSES.has(head.status)) {
      // The endpoint did not state that the request was not executed, but the caller would conclude that from the status.
      this.#end.refuse('endpoint-failed', 502, `the endpoint answered ${head.status} without saying that it did not run the request`)
      return
    }
    if (!isFailure) {
      this.#times.noteWhole()
      this.#guard.noteWhole()
    }
    if (this.request.route.kind !== 'stream') endpoint.observeLatency(attempt.ageMs)
    this.#end.end()
    this.#end.logIfSampled('answered', () => ({ status: head.status, endpoint: endpoint.id, ...describePlacement(attempt.choice, this.request, this.#prompt, this.#times.firstEventMs) }))
    this.#relay.complete()
  }

  #onFailure (attempt: RoutedAttempt, failure: AttemptFailure, detail: string, head: ResponseHead | undefined): void {
    if (this.#end.isDone) return
    this.#failures.observe(attempt, failure, detail, head)
    this.#lastFailure = failure
    if (this.#failover.isStandby(attempt)) {
      this.#failover.takeStandby()
      return
    }
    this.#dropIncomplete()
    if (this.#switchToStandby()) return
    // If the check went on until the next send, the endpoint's silence would count as a second failure and the request would be placed twice.
    this.#failover.stop()
    if (!this.#relay.canGoOnElsewhere) return this.#end.abort(failure, detail)
    if (failure === 'rejected' && attempt.choice.version === undefined && this.#search.usesQueue) return this.#search.placeAfterRejection(attempt)
    this.#retries.retryOrGiveUp(failure, detail)
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

  // --- Failover ---

  #replaceAttempt (standby: RoutedAttempt): void {
    const replaced = this.#attempt
    this.#attempt = standby
    if (replaced === undefined) return
    replaced.cancel()
    this.#dropIncomplete()
    this.#failures.observeSilence(replaced)
  }

  // --- Completion ---

  #giveUp (failure: AttemptFailure, detail: string): void {
    if (failure === 'not-connected' && (this.#otherHosts.takeIfUnreachable() || this.#otherHosts.returnIfUnreachable())) return
    if (this.exchange.hasHead) return this.#end.abort(failure, detail)
    if (failure === 'unsendable') return this.#end.refuse('internal-fault', 502, `this host can't write the request: ${detail}`)
    if (this.#attempts.mayHaveRun) this.#end.refuse('endpoint-failed', 502, `the last attempt ended with ${failure}: ${detail}`)
    else this.#end.refuse('endpoint-refused', 503, `the last attempt ended with ${failure}: ${detail}`)
  }

  #onTimeout (): void {
    // Expired timers run before sockets are read, so a response that arrived before the deadline may not have been read yet.
    setImmediate(this.#steps.guard(() => { this.#endAfterDeadline(true) }))
  }

  /** @param mayFinish - whether a response that has begun gets {@link RESPONSE_COMPLETION_MS} to complete */
  #endAfterDeadline (mayFinish: boolean): void {
    if (this.#end.isDone) return
    if (mayFinish && (this.#attempt?.isAnswering === true || this.#otherHosts.isAnswering)) {
      this.#timer = setTimeout(this.#steps.guard(() => { this.#endAfterDeadline(false) }), RESPONSE_COMPLETION_MS)
      return
    }
    // Some requests take longer than their route allows, so the endpoint is blamed only if it has stopped responding to all hosts.
    this.#cancelAttempt(this.#isEndpointSilent() ? 'unanswered' : undefined)
    if (this.exchange.hasHead) return this.#end.abort('timeout')
    if ((this.#attempts.sends > 0 || this.#search.usesQueue) && !this.#attempts.mayHaveRun) this.#end.refuse('endpoint-refused', 503, 'the time of the request is over, and no endpoint has taken it')
    else this.#end.refuse('deadline-passed', 504, 'the time of the request is over')
  }

  /** Ends the request after an exception in one of its steps, whatever its state is. */
  #endAfterFault (): void {
    try {
      this.#cancelAttempt(undefined)
      if (!this.#end.isDone) this.#end.refuse('internal-fault', 502, 'this host failed while it handled the request')
      else if (!this.exchange.hasEnded) this.exchange.abort()
    } catch (error) {
      this.ports.faults.contain(this.request.id, error)
      this.exchange.reset()
    }
  }

  #onCallerLeft (): void {
    if (this.#end.isDone) return
    const isSilent = this.#isEndpointSilent()
    this.#cancelAttempt(isSilent ? 'unanswered' : undefined)
    this.#end.finish('caller-left', { endpoint: this.#attempt?.choice.endpoint.id ?? '', isSilent, hadEvents: this.#times.hasFirstEvent })
  }

  #isEndpointSilent (): boolean {
    return this.#attempt !== undefined && this.ports.fleet.isSilent(this.#attempt.choice.endpoint)
  }

  /** Looks whether nothing is to be expected of the current attempt for now, and doubts connections if its endpoint does not respond. */
  #detectSilence (): boolean {
    if (!this.#isEndpointSilent()) return this.#attempt?.isDoubted === true
    if (this.#attempt !== undefined) this.ports.fleet.silentConnections.observeSilence(this.#attempt.choice.endpoint, performance.now())
    return true
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

  #countSlowCaller (): void {
    const { slowReaders } = this.ports
    const cut = this.#steps.guard((details: SlowReaderDetails) => { this.#cutSlowCaller(details) })
    const reader = slowReaders?.open('caller', this.#customerName, cut)
    if (reader !== undefined) this.exchange.countUnread(reader)
    else if (slowReaders !== undefined) this.exchange.countWaiting(() => slowReaders.openWaiting(this.#customerName, cut))
  }

  /** Ends the request of a caller that reads slowly. The endpoint may have answered completely already. */
  #cutSlowCaller (details: SlowReaderDetails): void {
    const fields = { ...details, endpoint: this.#attempt?.choice.endpoint.id ?? '' }
    if (this.#end.isDone) {
      this.#end.logEnd('slow-reader-cut', fields)
    } else {
      this.#cancelAttempt(undefined)
      this.#end.finish('slow-reader-cut', fields)
    }
    this.exchange.reset()
  }

  /** Counts bytes of the request that its endpoint has not taken. */
  #countUnread (attempt: RoutedAttempt, bytes: number): () => void {
    const reader = this.ports.slowReaders?.open('endpoint', this.#customerName, this.#steps.guard(details => { this.#cutSlowEndpoint(attempt, details) }))
    reader?.hold(bytes)
    return () => { reader?.close() }
  }

  #cutSlowEndpoint (attempt: RoutedAttempt, details: SlowReaderDetails): void {
    this.#end.logDecision('slow-reader-cut', { ...details, endpoint: attempt.choice.endpoint.id })
    attempt.cancel()
    if (this.#end.isDone) return
    if (this.#failover.isStandby(attempt)) {
      this.#failover.takeStandby()
      return
    }
    this.#dropIncomplete()
    if (!this.#switchToStandby()) this.#end.refuse('endpoint-failed', 502, 'the endpoint read the request too slowly')
  }

  get #customerName (): string { return this.request.customer?.name ?? '' }

  #leaveEndpoints (): void {
    this.#unfinished.close()
    this.#search.leaveQueue()
    this.#failover.end()
    this.#retries.cancelWait()
  }

  #endAtOtherHost (host: string, status: number): void {
    this.#end.end()
    this.#end.logIfSampled('relay-answered', () => ({ host, status }))
  }
}

/** Returns the parts of the prompt that other requests may have as well; the last part is the request's own. */
function sharedPartsOf ({ fields: { prompt } }: RoutedRequest): SharedPromptParts | undefined {
  if (prompt === undefined || prompt.parts.length < 2) return undefined
  return { model: prompt.model, ids: prompt.parts.slice(0, -1).map(({ id }) => id) }
}
