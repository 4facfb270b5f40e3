/** A request that is not idempotent runs at most once across all endpoints, over all tries of its caller. */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import { AT_MOST_ONCE_KINDS } from '../observations.js'

/** {@link RequestCheck} that reports repeated runs of such a request. */
export class AtMostOnceCheck implements RequestCheck {
  readonly guarantee = 'at-most-once'

  onRun (run: RunLine, view: HistoryView): string | undefined {
    const kind = view.request(run.requestId)?.kind
    if (kind === undefined || !AT_MOST_ONCE_KINDS.has(kind)) return undefined
    const runs = triesOf(run.requestId, view).flatMap(id => view.runs(id))
    return runs.length > 1 ? `ran ${runs.length} times, on ${runs.map(({ endpoint }) => endpoint).join(', ')}` : undefined
  }
}

/** Returns the ids of a request and of the earlier tries that it repeats. */
function triesOf (id: string, view: HistoryView): string[] {
  const { retries } = view.request(id) ?? {}
  return retries === undefined ? [id] : [...triesOf(retries, view), id]
}
