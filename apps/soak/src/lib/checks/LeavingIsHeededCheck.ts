/** An endpoint that has said in an answer that it is leaving gets nothing more from the host that got the answer. */
import type { RunLine, Work } from '../standinProtocol.js'
import type { LedgerView, RequestCheck } from '../RequestHistory.js'

/** Time after that answer in which requests may still arrive, in milliseconds. */
const DRAIN_MS = 1000

/** {@link RequestCheck} of endpoints that leave. */
export class LeavingIsHeededCheck implements RequestCheck {
  readonly promise = 'leaving-is-heeded'
  /** When the first answer that says so has begun, by endpoint and host. */
  readonly #saidAt = new Map<string, number>()

  onRun (run: RunLine, view: LedgerView): string | undefined {
    const request = view.asked(run.requestId)
    if (request === undefined) return undefined
    const key = `${run.endpoint} ${request.host}`
    const saidAt = this.#saidAt.get(key)
    if (run.asks === 'leaving') this.#saidAt.set(key, Math.min(saidAt ?? Number.POSITIVE_INFINITY, run.at + headMs(request.work)))
    if (saidAt === undefined || run.at <= saidAt + DRAIN_MS) return undefined
    const { timeLine } = view
    if (timeLine.isExcused(request.host, saidAt, run.at) || timeLine.isExcused(run.endpoint, saidAt, run.at)) return undefined
    return `${run.endpoint} had said to ${request.host} that it is leaving ${run.at - saidAt} ms before`
  }
}

/**
 * @param work - of a run
 * @returns milliseconds until the head of its answer
 */
export function headMs (work: Work): number {
  return work.kind === 'plain' ? work.milliseconds : 0
}
