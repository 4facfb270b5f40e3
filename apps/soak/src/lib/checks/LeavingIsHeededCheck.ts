/** An endpoint that has said in an answer that it is leaving gets nothing more from the host that got the answer. */
import type { RunLine, Work } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'

/** Time after that answer in which requests may still arrive, in milliseconds. */
const DRAIN_MS = 1000

/** {@link RequestCheck} of endpoints that leave. */
export class LeavingIsHeededCheck implements RequestCheck {
  readonly guarantee = 'leaving-is-heeded'
  /** When the first answer that says so has begun, by endpoint and host. */
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
    return `${run.endpoint} had said to ${request.host} that it is leaving ${run.at - announcedAt} ms before`
  }
}

/**
 * @param work - of a run
 * @returns milliseconds until the head of its answer
 */
export function responseHeadDelayMs (work: Work): number {
  return work.kind === 'plain' ? work.milliseconds : 0
}
