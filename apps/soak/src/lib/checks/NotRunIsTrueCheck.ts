/** A status that says that the request has not run is true, also later. */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** Statuses that callers take for that promise. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** {@link RequestCheck} of refusals. */
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
  return `status ${end.status}, but it ran at ${runs.map(({ endpoint }) => endpoint).join(', ')}`
}
