/** What the failed attempts of one request say of endpoints and of the request itself. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { QuarantineGuard } from '../quarantine/QuarantineGuard.js'
import type { AnswerTimes } from './AnswerTimes.js'
import { MAY_HAVE_RUN, type AttemptRecord } from './AttemptRecord.js'
import { learnFromFailure } from './learnFromFailure.js'
import type { AnswerHead, RoutedAttempt } from './RoutedAttempt.js'
import type { RoutedPorts } from './RoutedRequest.js'
import type { TriedEndpoints } from './TriedEndpoints.js'

/** Failures after which another endpoint, or the same one a little later, may take the request. */
const PASSING: ReadonlySet<AttemptFailure> = new Set(['rejected', 'misdirected', 'not-connected'])

/** What is kept of the request. */
export interface FailureRecords {
  readonly attempts: AttemptRecord
  readonly tried: TriedEndpoints
  readonly guard: QuarantineGuard
  readonly times: AnswerTimes
  /** Monotonic milliseconds at which its time is over. */
  readonly deadline: number
  log (details: DecisionFields<'attempt-failed'>): void
}

/** Failures of one request. */
export class AttemptFailures {
  /**
   * @param fleet - where outcomes are counted
   * @param records - of the request
   */
  constructor (private readonly fleet: RoutedPorts['fleet'], private readonly records: FailureRecords) {}

  /**
   * Takes a failure that the endpoint or its connection has reported.
   *
   * @param attempt - that failed
   * @param failure - how
   * @param detail - for the log
   * @param head - of the answer, if there was one
   */
  observe (attempt: RoutedAttempt, failure: AttemptFailure, detail: string, head: AnswerHead | undefined): void {
    const { attempts, tried } = this.records
    const { endpoint } = attempt.choice
    learnFromFailure(this.fleet, endpoint, failure, head)
    if (PASSING.has(failure)) tried.observeRejection(performance.now())
    else tried.observeFailure(endpoint.id)
    if (attempt.wasSent && (failure === 'rejected' || failure === 'misdirected')) attempts.noteNotRun()
    this.#log(attempt, failure, detail)
  }

  /** @param attempt - that was ended because its endpoint has fallen silent */
  observeSilence (attempt: RoutedAttempt): void {
    this.fleet.observe(attempt.choice.endpoint, 'unanswered')
    this.#log(attempt, 'broken-stream', 'the endpoint has fallen silent')
  }

  /** @param attempt - whose endpoint may have ended with it; one that leaves ends anyway, whatever it runs */
  noteLost ({ choice: { endpoint }, wasSent, ageMs }: RoutedAttempt): void {
    if (wasSent && !endpoint.isLeaving) this.records.guard.noteLost(endpoint.incarnation, ageMs)
  }

  #log (attempt: RoutedAttempt, failure: AttemptFailure, detail: string): void {
    const { attempts: { sends, runs }, guard, times, deadline, log } = this.records
    const mayHaveRun = MAY_HAVE_RUN.has(failure)
    if (mayHaveRun) this.noteLost(attempt)
    const run = mayHaveRun ? { fingerprint: guard.fingerprint, ranMs: Math.round(attempt.ageMs), hadEvents: times.hasFirstEvent } : {}
    log({ endpoint: attempt.choice.endpoint.id, failure, detail, sends, runs, remainingMs: Math.round(deadline - performance.now()), ...run })
  }
}
