/** The end of one routed request: its refusal, or the end of its response, and the log lines about it. */
import { refuse, type RefusalReason } from '@eelgrassmux/schema/Refusal'
import type { DecisionEvent, DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { AttemptRecord } from './AttemptRecord.js'
import type { CallerExchange } from './CallerExchange.js'
import { retryAfterSecondsFor } from './retryAfterSecondsFor.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** Callbacks to the task of the request. */
export interface RequestEndPorts {
  /** Id of the endpoint that has the request, or had it last; empty if there is none. */
  endpoint (): string
  /** Ends all timers, waits and standbys of the request. */
  leave (): void
}

/** Ends one request once. */
export class RequestEnd {
  #isDone = false

  /**
   * @param request - request to end
   * @param exchange - connection to the caller
   * @param ports - counters and log
   * @param attempts - attempts of the request
   * @param deadline - deadline of the request, in monotonic milliseconds
   * @param task - callbacks to the task of the request
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly exchange: CallerExchange,
    private readonly ports: Pick<RoutedPorts, 'refusals' | 'telemetry'>,
    private readonly attempts: AttemptRecord,
    private readonly deadline: number,
    private readonly task: RequestEndPorts
  ) {}

  /** Whether the request has ended. */
  get isDone (): boolean { return this.#isDone }

  /**
   * Refuses the request. A caller that has part of a response already sees that it breaks off.
   *
   * @param reason - reason that the caller reads
   * @param wantedStatus - status, unless it would state that a request did not run that may have
   * @param detail - explanation
   * @param expectedFreeInMs - time after which the reason may no longer apply, in milliseconds; 0 if that is not known
   */
  refuse (reason: RefusalReason, wantedStatus: number, detail: string, expectedFreeInMs = 0): void {
    if (this.exchange.hasHead) return this.abort(reason, detail)
    // A 503 tells the caller that the request was not executed, so it is only sent if that is certain.
    const status = wantedStatus === 503 && this.attempts.mayHaveRun ? 502 : wantedStatus
    const retryAfterSeconds = status === 503 ? retryAfterSecondsFor(reason, expectedFreeInMs, this.deadline - performance.now()) : undefined
    const refusal = refuse({ reason, status, detail, ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }) }, this.attempts.dispatch)
    this.ports.refusals.count(reason)
    this.finish('refused', { reason, status, run: refusal.run, detail, retryAfterSeconds: retryAfterSeconds ?? 0 })
    this.exchange.refuse(refusal)
  }

  /**
   * Breaks off a response that has begun.
   *
   * @param failure - why it can't go on
   * @param detail - explanation for the log
   */
  abort (failure: string, detail = ''): void {
    this.finish('broken-off', { endpoint: this.task.endpoint(), failure, detail })
    this.exchange.abort()
  }

  /**
   * Ends the request and logs how.
   *
   * @param outcome - name of the log event
   * @param details - fields of the log event
   */
  finish<Event extends DecisionEvent> (outcome: Event, details: DecisionFields<Event>): void {
    this.end()
    this.logEnd(outcome, details)
  }

  /** Ends the request. */
  end (): void {
    this.#isDone = true
    this.task.leave()
  }

  /**
   * Logs how the request ended.
   *
   * @param outcome - name of the log event
   * @param details - fields of the log event
   */
  logEnd<Event extends DecisionEvent> (outcome: Event, details: DecisionFields<Event>): void {
    this.logDecision(outcome, { ...details, elapsedMs: Math.round(performance.now() - this.request.arrivedAt), sends: this.attempts.sends, runs: this.attempts.runs })
  }

  /**
   * Logs how the request ended if it is one of those whose good end is logged.
   *
   * @param outcome - name of the log event
   * @param describe - returns the fields of the log event
   */
  logIfSampled<Event extends DecisionEvent> (outcome: Event, describe: () => DecisionFields<Event>): void {
    if (this.ports.telemetry.isSampled(this.request.id)) this.logEnd(outcome, describe())
  }

  /**
   * Logs a decision about the request.
   *
   * @param event - name of the log event
   * @param details - fields of the log event
   */
  logDecision<Event extends DecisionEvent> (event: Event, details: DecisionFields<Event>): void {
    const { route, service, siteVersion } = this.request
    this.ports.telemetry.logDecision(event, this.request.id, { route: route.name, service: service.name, siteVersion, ...details })
  }
}
