/** A request that was answered with a status that means "not run" has not run, and does not run later either. */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** Statuses that callers interpret as "not run". */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** {@link RequestCheck} that reports runs of refused requests. */
export class NotRunIsTrueCheck implements RequestCheck {
  readonly guarantee = 'not-run-is-true'

  onRun (run: RunLine, view: HistoryView): string | undefined {
    const outcome = view.outcome(run.requestId)
    return outcome === undefined ? undefined : describeViolation(outcome, [run])
  }

  onOutcome (outcome: Outcome, view: HistoryView): string | undefined {
    return describeViolation(outcome, view.runs(outcome.request.id))
  }
}

function describeViolation ({ end }: Outcome, runs: readonly RunLine[]): string | undefined {
  if (end.kind !== 'answered' || !NOT_RUN_STATUSES.has(end.status) || runs.length === 0) return undefined
  return `status ${end.status}, but the request ran on ${runs.map(({ endpoint }) => endpoint).join(', ')}`
}
