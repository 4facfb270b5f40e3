/** All hosts that know the rate limit of an endpoint keep it together, once they have had time to agree on their shares. */
import { REQUESTED_RATE_PER_SECOND, type RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import { responseHeadDelayMs } from './LeavingIsHeededCheck.js'

const WINDOW_MS = 4000

/** Maximum number of requests in a window: 1.5 times the requested rate, plus 5. */
const MAX_IN_WINDOW = 1.5 * REQUESTED_RATE_PER_SECOND * WINDOW_MS / 1000 + 5

/** How long after the first answer with the rate limit hosts may exceed it, in milliseconds. */
const AGREEMENT_MS = 3000

/** Time after which a host that received such an answer counts as informed, in milliseconds. */
const INFORMED_MS = 500

interface RateLimit {
  readonly since: number
  /** Time from which each host counts as informed. */
  readonly informedAt: Map<string, number>
  /** Arrival times of requests of informed hosts in the current window. */
  arrivals: number[]
}

/** {@link RequestCheck} of the request rate of endpoints that ask for a limit. */
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
    return rateLimit.arrivals.length > MAX_IN_WINDOW ? `${run.endpoint} had asked for at most ${REQUESTED_RATE_PER_SECOND} requests per second and received ${rateLimit.arrivals.length} in ${WINDOW_MS} ms` : undefined
  }
}

function isExcused ({ endpoint, at }: RunLine, host: string, since: number, { timeline }: HistoryView): boolean {
  return timeline.isExcused(host, since, at) || timeline.isExcused(endpoint, since, at)
}
