/**
 * The answer to a request that a host has forwarded is not cut off, except by a fault
 * that the host could not foresee: of the host itself, of the endpoint or of the link
 * between them. A planned stop is not such a fault.
 */
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'

/** How long after SIGTERM a host may still accept requests, in milliseconds. */
const ACCEPTING_AFTER_STOP_MS = 3000

/** Last share of the grace period, in which a host no longer waits for endpoints that are still working. */
const GRACE_RESERVE_SHARE = 1 / 6

/** {@link RequestCheck} that reports answers that were cut off. */
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
    // A host that was paused when SIGTERM was sent cannot know how much of its grace period has passed.
    if (stop !== undefined && timeline.isExcused(request.host, stop.at, stop.at)) return undefined
    const when = stop === undefined ? '' : `, sent ${request.sentAt - stop.at} ms and cut off ${endedAt - stop.at} ms after SIGTERM`
    return `${request.kind} was cut off by ${request.host} after ${endedAt - request.sentAt} ms (${end.reason})${when}`
  }
}

/** @returns whether the request was sent while the host still accepted work, and its endpoint needed longer than the grace period */
function outlastsGrace ({ request, endedAt }: Outcome, view: HistoryView): boolean {
  const stop = view.timeline.stopOf(request.host)
  if (stop === undefined || request.sentAt > stop.at + ACCEPTING_AFTER_STOP_MS) return false
  return endedAt >= stop.killAt - (stop.killAt - stop.at) * GRACE_RESERVE_SHARE
}
