/** A request that is not idempotent runs once at most, over all endpoints. */
import type { RunLine } from '../standinProtocol.js'
import type { LedgerView, RequestCheck } from '../RequestHistory.js'
import { RUNS_ONCE } from '../observations.js'

/** {@link RequestCheck} of repeated runs. */
export class AtMostOnceCheck implements RequestCheck {
  readonly promise = 'at-most-once'

  onRun (run: RunLine, view: LedgerView): string | undefined {
    const kind = view.asked(run.requestId)?.kind
    if (kind === undefined || !RUNS_ONCE.has(kind)) return undefined
    const runs = view.runs(run.requestId)
    return runs.length > 1 ? `ran ${runs.length} times, at ${runs.map(({ endpoint }) => endpoint).join(', ')}` : undefined
  }
}
