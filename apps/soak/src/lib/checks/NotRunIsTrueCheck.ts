/** A status that says that the request has not run is true, also later. */
import type { RunLine } from '../standinProtocol.js'
import type { LedgerView, RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** Statuses that callers take for that promise. */
const SAYS_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** {@link RequestCheck} of refusals. */
export class NotRunIsTrueCheck implements RequestCheck {
  readonly promise = 'not-run-is-true'

  onRun (run: RunLine, view: LedgerView): string | undefined {
    const outcome = view.outcome(run.requestId)
    return outcome === undefined ? undefined : describe(outcome, [run])
  }

  onOutcome (outcome: Outcome, view: LedgerView): string | undefined {
    return describe(outcome, view.runs(outcome.request.id))
  }
}

function describe ({ end }: Outcome, runs: readonly RunLine[]): string | undefined {
  if (end.kind !== 'answered' || !SAYS_NOT_RUN.has(end.status) || runs.length === 0) return undefined
  return `status ${end.status}, but it ran at ${runs.map(({ endpoint }) => endpoint).join(', ')}`
}
