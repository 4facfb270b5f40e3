/** A request that is not idempotent runs once at most, over all endpoints. */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import { AT_MOST_ONCE_KINDS } from '../observations.js'

/** {@link RequestCheck} of repeated runs. */
export class AtMostOnceCheck implements RequestCheck {
  readonly guarantee = 'at-most-once'

  onRun (run: RunLine, view: HistoryView): string | undefined {
    const kind = view.request(run.requestId)?.kind
    if (kind === undefined || !AT_MOST_ONCE_KINDS.has(kind)) return undefined
    const runs = view.runs(run.requestId)
    return runs.length > 1 ? `ran ${runs.length} times, at ${runs.map(({ endpoint }) => endpoint).join(', ')}` : undefined
  }
}
