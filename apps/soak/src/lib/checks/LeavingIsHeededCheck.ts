/** A host sends nothing more to an endpoint that has announced in an answer to this host that it is leaving. */
import type { RunLine, Work } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'

/** How long after that answer requests of the host may still arrive, in milliseconds. */
const DRAIN_MS = 1000

/** {@link RequestCheck} that reports requests to endpoints that are leaving. */
export class LeavingIsHeededCheck implements RequestCheck {
  readonly guarantee = 'leaving-is-heeded'
  /** Time of the head of the first answer with the announcement, by endpoint and host. */
  readonly #announcedAt = new Map<string, number>()

  onRun (run: RunLine, view: HistoryView): string | undefined {
    const request = view.request(run.requestId)
    if (request === undefined) return undefined
    const key = `${run.endpoint} ${request.host}`
    const announcedAt = this.#announcedAt.get(key)
    if (run.asks === 'leaving') this.#announcedAt.set(key, Math.min(announcedAt ?? Number.POSITIVE_INFINITY, run.at + responseHeadDelayMs(request.work)))
    if (announcedAt === undefined || run.at <= announcedAt + DRAIN_MS) return undefined
    const { timeline } = view
    if (timeline.isExcused(request.host, announcedAt, run.at) || timeline.isExcused(run.endpoint, announcedAt, run.at)) return undefined
    return `${run.endpoint} had announced to ${request.host} ${run.at - announcedAt} ms earlier that it is leaving`
  }
}

/**
 * @param work - what a run is to do
 * @returns delay from the start of the run to the head of its answer, in milliseconds
 */
export function responseHeadDelayMs (work: Work): number {
  return work.kind === 'plain' ? work.milliseconds : 0
}
