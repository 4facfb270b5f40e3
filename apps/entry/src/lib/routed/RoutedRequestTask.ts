/**
 * Carries one routed request to its end: chooses endpoints, passes the answer
 * on, and goes on elsewhere where that is allowed. The bytes of request and
 * answer are not looked into, but for the numbers of a resumable stream's events.
 */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/nextStep'
import type { EndpointChoice, NoEndpointReason } from '@eelgrassmux/routing/endpoints/endpointAsk'
import { refuse, type RefusalReason } from '@eelgrassmux/schema/Refusal'
import type { DecisionEvent, DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { stopDecisions } from '@eelgrassmux/telemetry/events/stopDecisions'
import { QuarantineGuard } from '../quarantine/QuarantineGuard.js'
import { admitRouted, type RoutedAdmission } from './admitRouted.js'
import { AnswerRelay } from './AnswerRelay.js'
import { AnswerTimes } from './AnswerTimes.js'
import { AttemptRecord, MAY_HAVE_RUN } from './AttemptRecord.js'
import type { CallerExchange } from './CallerExchange.js'
import type { EndpointConnection } from './EndpointConnection.js'
import type { EndpointConnections } from './EndpointConnections.js'
import { describePlacement } from './describePlacement.js'
import { endpointFields } from './endpointFields.js'
import { learnFromFailure } from './learnFromFailure.js'
import { learnFromFirstEvent } from './learnFromFirstEvent.js'
import { learnFromHead } from './learnFromHead.js'
import { isHeldBack, PlacementWaits } from './PlacementWaits.js'
import { pauseSeconds } from './pauseSeconds.js'
import { PromptContext } from './PromptContext.js'
import { RoutedAttempt, type AnswerHead } from './RoutedAttempt.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'
import { SilenceWatch } from './SilenceWatch.js'

/** Statuses that callers take for a promise that the request has not run. */
const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** One request. */
export class RoutedRequestTask {
  readonly #attempts = new AttemptRecord()
  readonly #tried = new Set<string>()
  readonly #deadline: number
  #attempt: RoutedAttempt | undefined
  readonly #relay: AnswerRelay
  #requiredVersion: number | undefined
  #timer: NodeJS.Timeout | undefined
  readonly #silence = new SilenceWatch()
  readonly #prompt: PromptContext | undefined
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
    const { method = 'GET', url: target = '/' } = exchange.request
    this.#guard = new QuarantineGuard(request.service.name, { customer: request.customer?.name, method, target, body: request.body }, ports.quarantine)
    this.#waits = new PlacementWaits(request, {
      placeAgain: () => { this.#placeAgain() },
      logWait: details => { this.#decided('waits-for-room', details) }
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
    if (this.exchange.hasHead) {
      this.#breakOff('stop')
      return
    }
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
    if (!this.#attempts.mayHaveRun && !this.exchange.hasHead && !this.#canEndBeforeStop()) {
      this.#refuse('draining', 503, 'this host is stopping and could not finish it; ask another')
      return
    }
    const choice = this.#choose()
    if (typeof choice === 'string') return this.#endWithoutEndpoint(choice)
    const admission = this.#admit(choice)
    if (admission === undefined) return
    const { endpoint } = choice
    const connections = this.ports.fleet.connectionsTo(endpoint)
    const connection = connections.acquire(this.ports.fleet.connectionLimit(this.request.service.connectionsPerEndpoint))
    this.#tried.add(endpoint.id)
    if (connection === undefined) {
      this.#decided('connections-used-up', { endpoint: endpoint.id, open: connections.count })
      this.#tryNext()
      return
    }
    this.#attempts.noteSend()
    this.ports.fleet.limits.noteSend(endpoint, performance.now())
    if (this.ports.stop.isStopping) this.logStop('taken-while-stopping', { sinceSignalMs: Math.round(this.ports.stop.sinceSignalMs), isFirstOnConnection: this.exchange.isFirstOnConnection })
    const attempt = this.#open(choice, connections, connection)
    this.#attempt = attempt
    const fields = endpointFields(this.request, choice, this.ports.fleet, {
      prompt: this.#prompt, lastEventId: this.#relay.lastEventId, deadline: this.#deadline, isExpectedLate: admission.isExpectedLate
    }, performance.now())
    attempt.send(this.exchange.toEndpoint(headers => this.ports.codec.writeEndpoint(headers, fields), this.request.body))
    this.#prompt?.recordSend(choice)
    this.#silence.stop()
    const mayRunElsewhere = (this.#relay.canResume || this.request.route.kind === 'safe') && this.#attempts.sends < this.request.route.attempts
    if (mayRunElsewhere) this.#watchSilence(attempt)
  }

  /**
   * Refused before every send, so that a request which waits or goes on elsewhere is not sent either once it is
   * known. It takes an endpoint, with all that runs there, each time.
   */
  #isQuarantineRejection (): boolean {
    const held = this.#guard.heldBack(performance.now())
    if (held !== undefined) this.#refuse('request-quarantined', 503, held.detail, held.forMs)
    return held !== undefined
  }

  #canEndBeforeStop (): boolean {
    const { route, fields } = this.request
    return this.ports.stop.admits({
      remainingMs: this.#deadline - performance.now(),
      expectedMs: this.ports.durations.expectedMs(route.name, fields.prompt?.outputTokens ?? 0)
    })
  }

  /** Waits if an endpoint that is held back is released in good time; else the caller learns at once when to come back. */
  #endWithoutEndpoint (reason: NoEndpointReason): void {
    const release = isHeldBack(reason) ? this.ports.fleet.firstRelease(this.request.service.name, this.#tried) : Number.POSITIVE_INFINITY
    if (this.#waits.waitForRelease(release, this.#deadline)) return
    this.#refuse('no-endpoint', 503, `no endpoint of ${this.request.service.name}: ${reason}`, Number.isFinite(release) ? release - performance.now() : 0)
  }

  #choose (): EndpointChoice | NoEndpointReason {
    const { service, regionBound } = this.request
    return this.ports.fleet.choose(service.name, { excluded: this.#tried, regionBound, ...this.#prompt?.ask(this.#requiredVersion) })
  }

  #admit (choice: EndpointChoice): Extract<RoutedAdmission, { kind: 'send' }> | undefined {
    const admission = admitRouted(this.request, choice, this.ports.fleet, { prompt: this.#prompt, hasFirstEvent: this.#times.hasFirstEvent, deadline: this.#deadline }, performance.now())
    if (admission.kind === 'send') return admission
    if (admission.kind === 'wait') this.#waits.waitForRoom(choice)
    else this.#refuse('deadline-unreachable', 503, admission.detail, admission.returnAfterMs)
    return undefined
  }

  /** The plan of stores is made anew, because more may be stored by then. */
  #placeAgain (): void {
    if (this.#isDone) return
    this.#prompt?.forgetPlans()
    this.#placeNext()
  }

  #open (choice: EndpointChoice, connections: EndpointConnections, connection: EndpointConnection): RoutedAttempt {
    const attempt: RoutedAttempt = new RoutedAttempt(choice, this.request.id, connections, connection, this.ports.fleet, this.ports.codec, {
      sending: () => { this.#attempts.noteRun() },
      head: (head, resume) => { this.#onHead(attempt, head, resume) },
      data: chunk => this.#onData(attempt, chunk),
      complete: () => { this.#onComplete(attempt) },
      failed: (failure, detail, head) => { this.#onFailure(attempt, failure, detail, head) }
    })
    return attempt
  }

  #onHead (attempt: RoutedAttempt, head: AnswerHead, resume: () => void): void {
    const now = performance.now()
    learnFromHead(attempt.choice.endpoint, this.request.fields.prompt?.model, head, now)
    this.ports.fleet.limits.observeAnswer(attempt.choice.endpoint, head, now)
    if (!head.fields.isNotExecuted) this.#relay.begin(head, resume)
  }

  #onData (attempt: RoutedAttempt, chunk: Buffer): boolean {
    if (this.#isDone) return true
    if (this.request.route.kind === 'stream') this.#noteFirstEvent(attempt)
    return this.#relay.data(chunk)
  }

  #noteFirstEvent (attempt: RoutedAttempt): void {
    if (this.#times.hasFirstEvent) return
    this.#requiredVersion = attempt.choice.version
    if (attempt.choice.version !== undefined) {
      learnFromFirstEvent(this.ports.fleet, this.request, attempt)
    }
    this.#times.noteFirstEvent()
  }

  #onComplete (attempt: RoutedAttempt): void {
    const { endpoint } = attempt.choice
    const { head } = this.#relay
    if (this.#isDone || head === undefined) return
    if (this.#relay.isInsideEvent) {
      this.#onFailure(attempt, 'lost', 'the stream ended inside an event', head)
      return
    }
    if (this.#relay.breaksStream) {
      this.#onFailure(attempt, 'failed', `status ${head.status} in place of the rest of the stream`, head)
      return
    }
    const isFailure = head.status >= 500
    this.ports.fleet.observe(endpoint, isFailure ? 'failure' : 'success')
    if (isFailure && !this.exchange.hasHead && this.#mayRepeat('failed')) return
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
    this.#finish('answered', { status: head.status, endpoint: endpoint.id, ...describePlacement(attempt.choice, this.request, this.#prompt, this.#times.firstEventMs) })
    this.#relay.complete()
  }

  #attemptFailed (attempt: RoutedAttempt, failure: AttemptFailure, detail: string): void {
    const mayHaveRun = MAY_HAVE_RUN.has(failure)
    if (mayHaveRun) this.#noteLost(attempt)
    const { sends, runs } = this.#attempts
    const run = mayHaveRun ? { fingerprint: this.#guard.fingerprint, ranMs: Math.round(attempt.ageMs), hadEvents: this.#times.hasFirstEvent } : {}
    const remainingMs = Math.round(this.#deadline - performance.now())
    this.#decided('attempt-failed', { endpoint: attempt.choice.endpoint.id, failure, detail, sends, runs, remainingMs, ...run })
  }

  /** One that leaves ends anyway, whatever it runs. */
  #noteLost ({ choice: { endpoint }, wasSent, ageMs }: RoutedAttempt): void {
    if (wasSent && !endpoint.isLeaving) this.#guard.noteLost(endpoint.incarnation, ageMs)
  }

  #onFailure (attempt: RoutedAttempt, failure: AttemptFailure, detail: string, head: AnswerHead | undefined): void {
    if (this.#isDone) return
    // Until the next send its silence would be taken for a second failure, and the request placed twice.
    this.#silence.stop()
    const { endpoint } = attempt.choice
    learnFromFailure(this.ports.fleet, endpoint, failure, head)
    if (attempt.wasSent && (failure === 'rejected' || failure === 'misdirected')) this.#attempts.noteNotRun()
    this.#relay.dropIncomplete()
    this.#attemptFailed(attempt, failure, detail)
    if (this.exchange.hasHead && !this.#relay.canResume) {
      this.#breakOff(failure, detail)
      return
    }
    if (this.#mayRepeat(failure)) return
    this.#giveUp(failure, detail)
  }

  #mayRepeat (failure: AttemptFailure): boolean {
    if (!this.#reserveRepeat(failure)) return false
    this.ports.retries.count(failure)
    this.#placeNext()
    return true
  }

  /** Whether a further attempt is allowed after such a failure; spends the budget for it. */
  #reserveRepeat (failure: AttemptFailure): boolean {
    const step = this.#attempts.nextStep(this.request.route, failure, this.#deadline - performance.now())
    if (step.kind === 'give-up') return false
    if (!this.exchange.hasHead && !this.#canEndBeforeStop()) return false
    if (step.spendsBudget && !this.ports.allowance.trySpend()) {
      this.#decided('retry-budget-used-up', { failure })
      return false
    }
    return true
  }

  // --- Ends ---

  #giveUp (failure: AttemptFailure, detail: string): void {
    if (this.exchange.hasHead) {
      this.#breakOff(failure, detail)
      return
    }
    if (this.#attempts.mayHaveRun) this.#refuse('endpoint-failed', 502, `the last attempt ended with ${failure}: ${detail}`)
    else this.#refuse('endpoint-refused', 503, `the last attempt ended with ${failure}: ${detail}`)
  }

  #timeOut (): void {
    if (this.#isDone) return
    // Some requests take longer than their route allows; only silence towards all is the endpoint's fault.
    this.#cancelAttempt(this.#isEndpointSilent() ? 'unanswered' : undefined)
    if (this.exchange.hasHead) {
      this.#breakOff('timeout')
      return
    }
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

  /**
   * A request that may run again does not wait for an endpoint that has fallen silent
   * towards everybody. If it may not run elsewhere it waits all the same: silence alone is
   * no reason to end an answer.
   */
  #watchSilence (attempt: RoutedAttempt): void {
    this.#silence.start(() => !this.#isDone && attempt === this.#attempt && this.#isEndpointSilent(), () => {
      if (typeof this.#choose() === 'string' || !this.#reserveRepeat('broken-stream')) return
      attempt.cancel()
      this.ports.fleet.observe(attempt.choice.endpoint, 'unanswered')
      this.#relay.dropIncomplete()
      this.#attemptFailed(attempt, 'broken-stream', 'the endpoint has fallen silent')
      this.ports.retries.count('broken-stream')
      this.#placeNext()
    })
  }

  /** An endpoint that answered nothing for all the time there was is to blame, and one that has fallen silent towards everybody. */
  #cancelAttempt (outcome: 'unanswered' | undefined): void {
    const attempt = this.#attempt
    if (attempt === undefined) return
    const { endpoint } = attempt.choice
    if (outcome !== undefined) this.#noteLost(attempt)
    if (outcome !== undefined && !attempt.hasHead) this.ports.fleet.observe(endpoint, outcome)
    attempt.cancel()
  }

  #breakOff (failure: string, detail = ''): void {
    this.#finish('broken-off', { endpoint: this.#attempt?.choice.endpoint.id ?? '', failure, detail })
    this.exchange.breakOff()
  }

  #refuse (reason: RefusalReason, wantedStatus: number, detail: string, wantedReturnMs = 0): void {
    // Part of an answer is with the caller already: all that can be said is that no more comes.
    if (this.exchange.hasHead) {
      this.#breakOff(reason, detail)
      return
    }
    // A status that promises that nothing ran needs the proof.
    const status = wantedStatus === 503 && this.#attempts.mayHaveRun ? 502 : wantedStatus
    const retryAfterSeconds = status === 503 ? pauseSeconds(reason, wantedReturnMs, this.#deadline - performance.now()) : undefined
    const refusal = refuse({ reason, status, detail, ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }) }, this.#attempts.dispatch)
    this.ports.refusals.count(reason)
    this.#finish('refused', { reason, status, run: refusal.run, detail, retryAfterSeconds: retryAfterSeconds ?? 0 })
    this.exchange.refuse(refusal)
  }

  #finish<Event extends DecisionEvent> (outcome: Event, details: DecisionFields<Event>): void {
    this.#isDone = true
    clearTimeout(this.#timer)
    this.#silence.stop()
    if (outcome !== 'answered' || this.ports.telemetry.keepsStory(this.request.id)) {
      this.#decided(outcome, { ...details, elapsedMs: Math.round(performance.now() - this.request.arrivedAt), sends: this.#attempts.sends, runs: this.#attempts.runs })
    }
  }

  #decided<Event extends DecisionEvent> (event: Event, details: DecisionFields<Event>): void {
    const { route, service, siteVersion } = this.request
    this.ports.telemetry.decided(event, this.request.id, { route: route.name, service: service.name, siteVersion, ...details })
  }
}
