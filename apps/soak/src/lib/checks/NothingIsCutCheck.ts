/**
 * A request that a host has read and passed on is not cut, but for faults that the
 * host could not foresee: its own, its endpoint's, or of the link between them. A
 * planned stop is no such fault.
 */
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** A request that was sent up to here after SIGTERM may find the host still taking work, in milliseconds. */
const ACCEPTING_AFTER_STOP_MS = 3000

/** An endpoint that is still at work in this last part of the grace time is not waited for. */
const GRACE_RESERVE_SHARE = 1 / 6

/** {@link RequestCheck} of broken answers. */
export class NothingIsCutCheck implements RequestCheck {
  readonly guarantee = 'nothing-is-cut'

  onOutcome (outcome: Outcome, view: HistoryView): string | undefined {
    const { request, end, endedAt } = outcome
    const runs = view.runs(request.id)
    if (end.kind !== 'cut' || runs.length === 0) return undefined
    const { timeline } = view
    const stop = timeline.stopOf(request.host)
    if (runs.some(({ endpoint }) => timeline.isExcused(endpoint, request.sentAt, endedAt))) return undefined
    if (timeline.isExcused(request.host, request.sentAt, endedAt) || outlastsGrace(outcome, view)) return undefined
    // A host that was paused when its SIGTERM was sent can't know how much of its grace time is gone.
    if (stop !== undefined && timeline.isExcused(request.host, stop.at, stop.at)) return undefined
    const when = stop === undefined ? '' : `, sent ${request.sentAt - stop.at} ms after SIGTERM, cut ${endedAt - stop.at} ms after it`
    return `${request.kind} was cut at ${request.host} after ${endedAt - request.sentAt} ms (${end.reason})${when}`
  }
}

/** The request came while hosts still take work, and its endpoint needed more than the grace time. */
function outlastsGrace ({ request, endedAt }: Outcome, view: HistoryView): boolean {
  const stop = view.timeline.stopOf(request.host)
  if (stop === undefined || request.sentAt > stop.at + ACCEPTING_AFTER_STOP_MS) return false
  return endedAt >= stop.killAt - (stop.killAt - stop.at) * GRACE_RESERVE_SHARE
}
