/** An endpoint that names a rate gets no more from all hosts that were informed, once they have had time to agree on it. */
import { REQUESTED_RATE_PER_SECOND, type RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import { responseHeadDelayMs } from './LeavingIsHeededCheck.js'

const WINDOW_MS = 4000

/** Most requests in a window: half as much again as what is named, and some. */
const MAX_IN_WINDOW = 1.5 * REQUESTED_RATE_PER_SECOND * WINDOW_MS / 1000 + 5

/** Time after the first answer that names the rate in which hosts may exceed it, in milliseconds. */
const AGREEMENT_MS = 3000

/** Time after which a host that got such an answer counts as informed, in milliseconds. */
const INFORMED_MS = 500

interface RateLimit {
  readonly since: number
  /** When each host was informed. */
  readonly informedAt: Map<string, number>
  /** Times of requests of hosts that were informed. */
  arrivals: number[]
}

/** {@link RequestCheck} of rates. */
export class RatesAreKeptCheck implements RequestCheck {
  readonly guarantee = 'rates-are-kept'
  readonly #rateLimits = new Map<string, RateLimit>()

  onRun (run: RunLine, view: HistoryView): string | undefined {
    if (run.asks !== 'rate') {
      this.#rateLimits.delete(run.endpoint)
      return undefined
    }
    const request = view.request(run.requestId)
    if (request === undefined) return undefined
    const rateLimit = this.#rateLimits.get(run.endpoint) ?? { since: run.at, informedAt: new Map(), arrivals: [] }
    this.#rateLimits.set(run.endpoint, rateLimit)
    const { host } = request
    const informedAt = rateLimit.informedAt.get(host)
    rateLimit.informedAt.set(host, Math.min(informedAt ?? Number.POSITIVE_INFINITY, run.at + responseHeadDelayMs(request.work) + INFORMED_MS))
    const counts = informedAt !== undefined && run.at >= informedAt && run.at > rateLimit.since + AGREEMENT_MS && !isExcused(run, host, rateLimit.since, view)
    if (!counts) return undefined
    rateLimit.arrivals = [...rateLimit.arrivals.filter(at => at > run.at - WINDOW_MS), run.at]
    return rateLimit.arrivals.length > MAX_IN_WINDOW ? `${run.endpoint} had named ${REQUESTED_RATE_PER_SECOND} requests a second and got ${rateLimit.arrivals.length} in ${WINDOW_MS} ms` : undefined
  }
}

function isExcused ({ endpoint, at }: RunLine, host: string, since: number, { timeline }: HistoryView): boolean {
  return timeline.isExcused(host, since, at) || timeline.isExcused(endpoint, since, at)
}
