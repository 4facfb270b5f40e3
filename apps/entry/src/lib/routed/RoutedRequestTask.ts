/**
 * Carries one routed request to its end: chooses endpoints, passes the answer
 * on, and goes on elsewhere where that is allowed. The bytes of request and
 * answer are not looked into, but for the numbers of a resumable stream's events.
 */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { EndpointChoice, NoEndpointReason } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { refuse, type RefusalReason } from '@eelgrassmux/schema/Refusal'
import type { DecisionEvent, DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { stopDecisions } from '@eelgrassmux/telemetry/events/stopDecisions'
import { QuarantineGuard } from '../quarantine/QuarantineGuard.js'
import { AnswerRelay } from './AnswerRelay.js'
import { AnswerTimes } from './AnswerTimes.js'
import { AttemptFailures } from './AttemptFailures.js'
import { AttemptRecord } from './AttemptRecord.js'
import { AttemptSender } from './AttemptSender.js'
import type { CallerExchange } from './CallerExchange.js'
import { describePlacement } from './describePlacement.js'
import { learnFromFirstEvent } from './learnFromFirstEvent.js'
import { learnFromHead } from './learnFromHead.js'
import { PlacementWaits } from './PlacementWaits.js'
import { pauseSeconds } from './pauseSeconds.js'
import { PromptContext } from './PromptContext.js'
import { RequestPlacement } from './RequestPlacement.js'
import { RepeatReservation, type RepeatOutcome } from './RepeatReservation.js'
import type { AnswerHead, RoutedAttempt } from './RoutedAttempt.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'
import { SilenceFailover } from './SilenceFailover.js'

/** Statuses that callers take for a promise that the request has not run. */
const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** One request. */
export class RoutedRequestTask {
  readonly #attempts = new AttemptRecord()
  readonly #deadline: number
  #attempt: RoutedAttempt | undefined
  readonly #relay: AnswerRelay
  #timer: NodeJS.Timeout | undefined
  readonly #failover: SilenceFailover
  readonly #repeats: RepeatReservation
  readonly #sender: AttemptSender
  readonly #prompt: PromptContext | undefined
  readonly #placement: RequestPlacement
  readonly #failures: AttemptFailures
  #isDone = false
  readonly #waits: PlacementWaits
  readonly #guard: QuarantineGuard
  readonly #times: AnswerTimes

  /**
   * @param request - what to do
   * @param exchange - the caller's side
   * @param ports - surroundings
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly exchange: CallerExchange,
    private readonly ports: RoutedPorts
  ) {
    const limitMs = Math.min(request.route.timeoutMs, request.fields.deadlineMs ?? Number.POSITIVE_INFINITY)
    this.#deadline = request.arrivedAt + limitMs
    this.#prompt = PromptContext.of(request, ports)
    this.#times = new AnswerTimes(request, ports)
    this.#placement = new RequestPlacement(request, ports, this.#prompt, this.#times, this.#deadline)
    const { method = 'GET', url: target = '/' } = exchange.request
    this.#guard = new QuarantineGuard(request.service.name, { customer: request.customer?.name, method, target, body: request.body }, ports.quarantine)
    this.#failures = new AttemptFailures(ports.fleet, {
      attempts: this.#attempts, tried: this.#placement.tried, guard: this.#guard, times: this.#times, deadline: this.#deadline, log: details => { this.#decided('attempt-failed', details) }
    })
    this.#waits = new PlacementWaits(request, {
      placeAgain: () => { this.#placeAgain() },
      logWait: details => { this.#decided('waits-for-room', details) },
      logResumption: details => { this.#decided('waits-to-resume', details) }
    })
    this.#repeats = new RepeatReservation(request, ports, this.#attempts, failure => { this.#decided('retry-budget-used-up', { failure }) })
    this.#failover = new SilenceFailover(ports.silenceLooks, {
      isWanted: () => this.#wantsStandby(),
      isSilent: () => this.#isEndpointSilent(),
      beforePlacing: place => { ports.beforePlacing(place) },
      open: () => this.#openStandby(),
      send: attempt => { this.#send(attempt, false) },
      replace: standby => { this.#replaceAttempt(standby) }
    })
    this.#sender = new AttemptSender(request, exchange, ports, this.#prompt, {
      sending: () => { this.#attempts.noteRun() },
      head: (attempt, head, resume) => { this.#onHead(attempt, head, resume) },
      data: (attempt, chunk) => this.#onData(attempt, chunk),
      complete: attempt => { this.#onComplete(attempt) },
      failed: (attempt, failure, detail, head) => { this.#onFailure(attempt, failure, detail, head) }
    })
    this.#relay = new AnswerRelay(exchange, { isStream: request.route.kind === 'stream', isResumable: request.route.isResumable, lastEventId: request.fields.lastEventId })
  }

  /** Starts; everything else follows from timers and sockets. */
  start (): void {
    this.#timer = setTimeout(() => { this.#timeOut() }, Math.max(0, this.#deadline - performance.now()))
    this.exchange.onLeave(() => { this.#callerLeft() })
    this.#placeNext()
  }

  /**
   * Logs what a stop of this host decides about this request.
   *
   * @param event - name of the decision
   * @param details - what it was made of
   */
  logStop<Event extends keyof typeof stopDecisions> (event: Event, details: DecisionFields<Event>): void {
    this.#decided(event, { ...details, elapsedMs: Math.round(performance.now() - this.request.arrivedAt), sends: this.#attempts.sends, hadEvents: this.#times.hasFirstEvent })
  }

  /**
   * Ends because the process is about to be killed: a caller that has no answer yet is told
   * what is known, one that has part of it sees that it is not complete.
   *
   * @param sinceSignalMs - milliseconds since the stop began
   */
  endForStop (sinceSignalMs: number): void {
    if (this.#isDone) return
    this.logStop('cut-by-stop', { sinceSignalMs: Math.round(sinceSignalMs), endpoint: this.#attempt?.choice.endpoint.id ?? '' })
    this.#cancelAttempt(undefined)
    if (this.exchange.hasHead) return this.#breakOff('stop')
    this.#refuse(this.#attempts.mayHaveRun ? 'endpoint-failed' : 'draining', 503, 'this host had to stop before the answer was there')
  }

  // --- Attempts ---

  /** Places it on what is known of the others' work by then. */
  #placeNext (): void {
    this.ports.beforePlacing(() => { if (!this.#isDone) this.#tryNext() })
  }

  #tryNext (): void {
    if (this.#isQuarantineRejection()) return
    // Also asked of requests that have waited since before the stop began.
    if (!this.#attempts.mayHaveRun && !this.exchange.hasHead && !this.#placement.canEndBeforeStop) {
      this.#refuse('draining', 503, 'this host is stopping and could not finish it; ask another')
      return
    }
    const choice = this.#placement.choose()
    if (typeof choice === 'string') return this.#endWithoutEndpoint(choice)
    const admission = this.#placement.admit(choice)
    if (admission.kind === 'wait') return this.#waits.waitForRoom(choice)
    if (admission.kind === 'refuse') return this.#refuse('deadline-unreachable', 503, admission.detail, admission.returnAfterMs)
    const attempt = this.#open(choice)
    if (attempt === undefined) return this.#tryNext()
    this.#attempt = attempt
    this.#send(attempt, admission.isExpectedLate)
    if (this.#relay.canResume || this.request.route.kind === 'safe') this.#failover.watch()
  }

  #open (choice: EndpointChoice): RoutedAttempt | undefined {
    const { endpoint } = choice
    this.#placement.tried.add(endpoint.id)
    const attempt = this.#sender.open(choice)
    if (attempt === undefined) this.#decided('connections-used-up', { endpoint: endpoint.id, open: this.ports.fleet.connectionsTo(endpoint).count })
    return attempt
  }

  #send (attempt: RoutedAttempt, isExpectedLate: boolean): void {
    this.#attempts.noteSend()
    if (this.ports.stop.isStopping) this.logStop('taken-while-stopping', { sinceSignalMs: Math.round(this.ports.stop.sinceSignalMs), isFirstOnConnection: this.exchange.isFirstOnConnection })
    this.#sender.send(attempt, { lastEventId: this.#relay.lastEventId, deadline: this.#deadline, isExpectedLate })
  }

  /**
   * Refused before every send, so that a request which waits or goes on elsewhere is not sent either once it is
   * known. It takes an endpoint, with all that runs there, each time.
   */
  #isQuarantineRejection (): boolean {
    const held = this.#guard.rejection(performance.now())
    if (held !== undefined) this.#refuse('request-quarantined', 503, held.detail, held.forMs)
    return held !== undefined
  }

  /** Waits if an endpoint that is held back is released in good time; else the caller learns at once when to come back. */
  #endWithoutEndpoint (reason: NoEndpointReason): void {
    const release = this.#placement.releasedAt(reason)
    if (this.#hasBegun) {
      if (!this.#waitToResume(Number.isFinite(release) ? release : 0)) this.#breakOff('no-endpoint', reason)
      return
    }
    if (this.#waits.waitForRelease(release, this.#deadline)) return
    this.#refuse('no-endpoint', 503, `no endpoint of ${this.request.service.name}: ${reason}`, Number.isFinite(release) ? release - performance.now() : 0)
  }

  /** The plan of stores is made anew, because more may be stored by then. */
  #placeAgain (): void {
    if (this.#isDone) return
    this.#prompt?.forgetPlans()
    this.#placeNext()
  }

  #onHead (attempt: RoutedAttempt, head: AnswerHead, resume: () => void): void {
    const now = performance.now()
    learnFromHead(attempt.choice.endpoint, this.request.fields.prompt?.model, head, now)
    this.ports.fleet.limits.observeAnswer(attempt.choice.endpoint, head, now)
    if (head.fields.isNotExecuted) return
    if (this.#failover.isStandby(attempt) && !this.#failover.settle(this.#relay.canTake(head))) return
    this.#relay.begin(head, resume)
  }

  #onData (attempt: RoutedAttempt, chunk: Buffer): boolean {
    if (this.#isDone) return true
    if (this.request.route.kind === 'stream') this.#noteEvent(attempt)
    return this.#relay.data(chunk)
  }

  #noteEvent (attempt: RoutedAttempt): void {
    this.#placement.tried.observeProgress()
    if (!this.#times.noteEvent()) return
    this.#placement.requireVersion(attempt.choice.version)
    if (attempt.choice.version !== undefined) learnFromFirstEvent(this.ports.fleet, this.request, attempt)
  }

  #onComplete (attempt: RoutedAttempt): void {
    const { endpoint } = attempt.choice
    const { head } = this.#relay
    if (this.#isDone || head === undefined) return
    const { fault } = this.#relay
    if (fault !== undefined) return this.#onFailure(attempt, fault.failure, fault.detail, head)
    const isFailure = head.status >= 500
    this.ports.fleet.observe(endpoint, isFailure ? 'failure' : 'success')
    if (isFailure && !this.exchange.hasHead && (this.#goOnAtStandby() || this.#mayRepeat('failed'))) return
    if (PROMISES_NOT_RUN.has(head.status)) {
      // The endpoint does not say that the request has not run; its caller would take the status for that.
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
      this.#decidedEnd('answered', { status: head.status, endpoint: endpoint.id, ...describePlacement(attempt.choice, this.request, this.#prompt, this.#times.firstEventMs) })
    }
    this.#relay.complete()
  }

  #onFailure (attempt: RoutedAttempt, failure: AttemptFailure, detail: string, head: AnswerHead | undefined): void {
    if (this.#isDone) return
    this.#failures.observe(attempt, failure, detail, head)
    if (this.#failover.isStandby(attempt)) {
      this.#failover.takeStandby()
      return
    }
    this.#relay.dropIncomplete()
    if (this.#goOnAtStandby()) return
    // Until the next send its silence would be taken for a second failure, and the request placed twice.
    this.#failover.stop()
    if (this.exchange.hasHead && !this.#relay.canResume) return this.#breakOff(failure, detail)
    this.#repeatOrGiveUp(failure, detail)
  }

  /** @returns whether a second attempt is under way already */
  #goOnAtStandby (): boolean {
    const standby = this.#failover.takeStandby()
    if (standby === undefined) return false
    this.#attempt = standby
    return true
  }

  #repeatOrGiveUp (failure: AttemptFailure, detail: string): void {
    if (!this.#mayRepeat(failure)) this.#giveUp(failure, detail)
  }

  #mayRepeat (failure: AttemptFailure): boolean {
    const reservation = this.#reserveRepeat(failure)
    if (reservation === 'no-budget' && this.#hasBegun) {
      // Requests that come meanwhile add to the budget.
      return this.#waits.waitToResume(0, this.#placement.patienceEnds, () => { if (!this.#isDone) this.#repeatOrGiveUp(failure, 'the budget for repeats is used up') })
    }
    if (reservation !== 'reserved') return false
    this.ports.retries.count(failure)
    if (this.#hasBegun && this.#placement.tried.askAgainAt > performance.now()) return this.#waits.waitToResume(this.#placement.tried.askAgainAt, this.#placement.patienceEnds)
    this.#placeNext()
    return true
  }

  #reserveRepeat (failure: AttemptFailure): RepeatOutcome {
    if (!this.exchange.hasHead && !this.#placement.canEndBeforeStop) return 'not-allowed'
    return this.#repeats.reserve(failure, this.#deadline - performance.now(), this.#hasBegun)
  }

  /** Whether its caller has part of a stream that may go on at another endpoint. */
  get #hasBegun (): boolean { return this.exchange.hasHead && this.#relay.canResume }

  #waitToResume (until: number): boolean {
    this.#placement.tried.allowAgain(undefined)
    return this.#waits.waitToResume(Math.max(until, this.#placement.tried.askAgainAt), this.#placement.patienceEnds)
  }

  // --- Failover ---

  #wantsStandby (): boolean {
    return !this.#isDone && this.#attempts.runs < this.request.route.attempts && this.#isEndpointSilent()
  }

  /** A request that no other endpoint takes stays where it is: silence alone is no reason to end an answer. */
  #openStandby (): RoutedAttempt | undefined {
    const now = performance.now()
    if (this.#guard.rejection(now) !== undefined || now < this.#placement.tried.askAgainAt) return undefined
    const choice = this.#placement.choose()
    if (typeof choice === 'string') {
      if (this.#hasBegun) this.#placement.tried.allowAgain(this.#attempt?.choice.endpoint.id)
      return undefined
    }
    const admission = this.#placement.admit(choice)
    if (admission.kind !== 'send' || this.#reserveRepeat('broken-stream') !== 'reserved') return undefined
    this.ports.retries.count('broken-stream')
    this.#decided('standby-opened', { endpoint: this.#attempt?.choice.endpoint.id ?? '', standby: choice.endpoint.id, hadEvents: this.#times.hasFirstEvent, remainingMs: Math.round(this.#deadline - now) })
    return this.#open(choice)
  }

  #replaceAttempt (standby: RoutedAttempt): void {
    const left = this.#attempt
    this.#attempt = standby
    if (left === undefined) return
    left.cancel()
    this.#relay.dropIncomplete()
    this.#failures.observeSilence(left)
  }

  // --- Ends ---

  #giveUp (failure: AttemptFailure, detail: string): void {
    if (this.exchange.hasHead) return this.#breakOff(failure, detail)
    if (this.#attempts.mayHaveRun) this.#refuse('endpoint-failed', 502, `the last attempt ended with ${failure}: ${detail}`)
    else this.#refuse('endpoint-refused', 503, `the last attempt ended with ${failure}: ${detail}`)
  }

  #timeOut (): void {
    if (this.#isDone) return
    // Some requests take longer than their route allows; only silence towards all is the endpoint's fault.
    this.#cancelAttempt(this.#isEndpointSilent() ? 'unanswered' : undefined)
    if (this.exchange.hasHead) return this.#breakOff('timeout')
    this.#refuse('deadline-passed', 504, 'the time of the request is over')
  }

  #callerLeft (): void {
    if (this.#isDone) return
    const isSilent = this.#isEndpointSilent()
    this.#cancelAttempt(isSilent ? 'unanswered' : undefined)
    this.#finish('caller-left', { endpoint: this.#attempt?.choice.endpoint.id ?? '', isSilent, hadEvents: this.#times.hasFirstEvent })
  }

  #isEndpointSilent (): boolean {
    return this.#attempt !== undefined && this.ports.fleet.isSilent(this.#attempt.choice.endpoint)
  }

  /** An endpoint that answered nothing for all the time there was is to blame, and one that has fallen silent towards everybody. */
  #cancelAttempt (outcome: 'unanswered' | undefined): void {
    const attempt = this.#attempt
    if (attempt === undefined) return
    const { endpoint } = attempt.choice
    if (outcome !== undefined) this.#failures.noteLost(attempt)
    if (outcome !== undefined && !attempt.hasHead) this.ports.fleet.observe(endpoint, outcome)
    attempt.cancel()
  }

  #breakOff (failure: string, detail = ''): void {
    this.#finish('broken-off', { endpoint: this.#attempt?.choice.endpoint.id ?? '', failure, detail })
    this.exchange.breakOff()
  }

  #refuse (reason: RefusalReason, wantedStatus: number, detail: string, wantedReturnMs = 0): void {
    // Part of an answer is with the caller already: all that can be said is that no more comes.
    if (this.exchange.hasHead) return this.#breakOff(reason, detail)
    // A status that promises that nothing ran needs the proof.
    const status = wantedStatus === 503 && this.#attempts.mayHaveRun ? 502 : wantedStatus
    const retryAfterSeconds = status === 503 ? pauseSeconds(reason, wantedReturnMs, this.#deadline - performance.now()) : undefined
    const refusal = refuse({ reason, status, detail, ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }) }, this.#attempts.dispatch)
    this.ports.refusals.count(reason)
    this.#finish('refused', { reason, status, run: refusal.run, detail, retryAfterSeconds: retryAfterSeconds ?? 0 })
    this.exchange.refuse(refusal)
  }

  #finish<Event extends DecisionEvent> (outcome: Event, details: DecisionFields<Event>): void {
    this.#end()
    this.#decidedEnd(outcome, details)
  }

  #end (): void {
    this.#isDone = true
    clearTimeout(this.#timer)
    this.#failover.end()
  }

  #decidedEnd<Event extends DecisionEvent> (outcome: Event, details: DecisionFields<Event>): void {
    this.#decided(outcome, { ...details, elapsedMs: Math.round(performance.now() - this.request.arrivedAt), sends: this.#attempts.sends, runs: this.#attempts.runs })
  }

  #decided<Event extends DecisionEvent> (event: Event, details: DecisionFields<Event>): void {
    const { route, service, siteVersion } = this.request
    this.ports.telemetry.logDecision(event, this.request.id, { route: route.name, service: service.name, siteVersion, ...details })
  }
}
