/** Updates the state of endpoints and of the request after failed attempts. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { QuarantineGuard } from '../quarantine/QuarantineGuard.js'
import { bodyFraming } from './responseBody.js'
import type { ResponseTimes } from './ResponseTimes.js'
import { FAILURES_THAT_MAY_HAVE_RUN, type AttemptRecord } from './AttemptRecord.js'
import { learnFromFailure } from './learnFromFailure.js'
import type { ResponseHead, RoutedAttempt } from './RoutedAttempt.js'
import type { RoutedPorts } from './RoutedRequest.js'
import type { TriedEndpoints } from './TriedEndpoints.js'

/** Failures after which another endpoint, or the same one a little later, may accept the request. */
const TRANSIENT_FAILURES: ReadonlySet<AttemptFailure> = new Set(['rejected', 'misdirected', 'not-connected'])

/** State of the request that failures change. */
export interface FailureRecords {
  readonly attempts: AttemptRecord
  readonly tried: TriedEndpoints
  readonly guard: QuarantineGuard
  readonly times: ResponseTimes
  /** Ids of the parts of the prompt that other requests may have as well. */
  readonly sharedParts: readonly string[]
  /** Deadline of the request, in monotonic milliseconds. */
  readonly deadline: number
  log (details: DecisionFields<'attempt-failed'>): void
}

/** Handles the failed attempts of one request. */
export class AttemptFailures {
  /**
   * @param fleet - where outcomes are recorded
   * @param records - state of the request
   */
  constructor (private readonly fleet: RoutedPorts['fleet'], private readonly records: FailureRecords) {}

  /**
   * Records a failure that the endpoint or its connection has reported.
   *
   * @param attempt - attempt that failed
   * @param failure - kind of failure
   * @param detail - detail for the log
   * @param head - head of the response, if there was one
   */
  observe (attempt: RoutedAttempt, failure: AttemptFailure, detail: string, head: ResponseHead | undefined): void {
    const { tried } = this.records
    const { endpoint } = attempt.choice
    learnFromFailure(this.fleet, endpoint, failure, head)
    if (TRANSIENT_FAILURES.has(failure)) tried.observeRejection(performance.now())
    else tried.observeFailure(endpoint.id)
    this.#log(attempt, failure, detail, head)
  }

  /** @param attempt - attempt that was cancelled because its endpoint stopped responding */
  observeSilence (attempt: RoutedAttempt): void {
    this.fleet.recordOutcome(attempt.choice.endpoint, 'unanswered')
    this.#log(attempt, 'broken-stream', 'the endpoint has fallen silent')
  }

  /**
   * Reports that the endpoint may have crashed because of this attempt. An endpoint that is leaving
   * is not reported, because it ends whatever it runs.
   *
   * @param attempt - attempt that was lost
   */
  noteLost ({ choice: { endpoint }, wasSent, ageMs }: RoutedAttempt): void {
    if (wasSent && !endpoint.isLeaving) this.records.guard.noteLost(endpoint.incarnation, ageMs, this.records.times.hasFirstEvent)
  }

  #describeParts (): { readonly parts?: string } {
    const { times, sharedParts } = this.records
    return times.hasFirstEvent || sharedParts.length === 0 ? {} : { parts: sharedParts.join(' ') }
  }

  #log (attempt: RoutedAttempt, failure: AttemptFailure, detail: string, head?: ResponseHead): void {
    const { attempts: { sends, runs }, guard, times, deadline, log } = this.records
    const mayHaveRun = FAILURES_THAT_MAY_HAVE_RUN.has(failure)
    if (mayHaveRun) this.noteLost(attempt)
    const run = mayHaveRun ? { fingerprint: guard.fingerprint, ranMs: Math.round(attempt.ageMs), hadEvents: times.hasFirstEvent, ...this.#describeParts() } : {}
    const body = mayHaveRun && head !== undefined ? { framing: bodyFraming(head.headers), bodyBytes: attempt.answerBytes } : {}
    log({ endpoint: attempt.choice.endpoint.id, failure, detail, sends, runs, remainingMs: Math.round(deadline - performance.now()), ...run, ...body, ...attempt.sendIdentity, ...(head === undefined ? {} : { answerId: head.fields.requestId ?? '' }) })
  }
}
