/**
 * Waits for what a start depends on and what may still come. A process that ended instead would be started
 * again into the same state, so that one cause would end it many times.
 */
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { ProcessSignals } from './ProcessSignals.js'

/** Interval between attempts, in milliseconds. A signal starts the next attempt at once. */
const RETRY_INTERVAL_MS = 100

/** Interval between log lines about the same wait, in milliseconds. */
const REPORT_INTERVAL_MS = 1000

/** Maximum length of a logged reason, in characters: it may quote a file. */
const MAX_REASON_CHARACTERS = 200

/** A signal to stop arrived while the start was waiting; the process has nothing to finish. */
export class StartStopped extends Error {}

/** Waits of one process. */
export class StartWaits {
  /**
   * @param telemetry - log
   * @param signals - signals of the process
   */
  constructor (private readonly telemetry: Pick<Telemetry, 'logStateChange'>, private readonly signals: Pick<ProcessSignals, 'isStopReceived' | 'sleep'>) {}

  /**
   * Repeats an attempt until it succeeds.
   *
   * @param dependency - what is waited for, as the log names it
   * @param attempt - may be repeated after a rejection
   * @param canResolve - whether an error may pass without a change of the settings
   * @returns result of the first attempt that succeeds
   * @throws StartStopped if a signal to stop arrives during the wait, or the first error that can't pass
   */
  async until<Result> (dependency: string, attempt: () => Promise<Result>, canResolve: (error: unknown) => boolean): Promise<Result> {
    const startedAt = performance.now()
    let reportedAt = Number.NEGATIVE_INFINITY
    for (;;) {
      try {
        const result = await attempt()
        if (Number.isFinite(reportedAt)) this.telemetry.logStateChange('dependency-found', { dependency, waitedMs: Math.round(performance.now() - startedAt) })
        return result
      } catch (error) {
        if (!canResolve(error)) throw error
        const now = performance.now()
        if (now - reportedAt >= REPORT_INTERVAL_MS) {
          reportedAt = now
          this.telemetry.logStateChange('dependency-missing', { dependency, reason: describeReason(error), waitedMs: Math.round(now - startedAt) })
        }
      }
      await this.signals.sleep(RETRY_INTERVAL_MS)
      if (this.signals.isStopReceived) throw new StartStopped(`stopped while waiting for ${dependency}`)
    }
  }
}

/**
 * @param error - error of an attempt
 * @returns its message, shortened for the log
 */
export function describeReason (error: unknown): string {
  return (error instanceof Error ? error.message : String(error)).slice(0, MAX_REASON_CHARACTERS)
}
