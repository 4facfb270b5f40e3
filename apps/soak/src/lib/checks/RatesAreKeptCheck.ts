/** An endpoint that names a rate gets no more from all hosts that were informed, once they have had time to agree on it. */
import { ASKED_RATE, type RunLine } from '../standinProtocol.js'
import type { LedgerView, RequestCheck } from '../RequestHistory.js'
import { headMs } from './LeavingIsHeededCheck.js'

const WINDOW_MS = 4000

/** Most requests in a window: half as much again as what is named, and some. */
const MOST_IN_WINDOW = 1.5 * ASKED_RATE * WINDOW_MS / 1000 + 5

/** Time after the first answer that names the rate in which hosts may exceed it, in milliseconds. */
const NOTICE_MS = 3000

/** Time after which a host that got such an answer counts as informed, in milliseconds. */
const INFORMED_MS = 500

interface Limited {
  readonly since: number
  /** When each host was informed. */
  readonly informedAt: Map<string, number>
  /** Times of requests of hosts that were informed. */
  arrivals: number[]
}

/** {@link RequestCheck} of rates. */
export class RatesAreKeptCheck implements RequestCheck {
  readonly promise = 'rates-are-kept'
  readonly #limited = new Map<string, Limited>()

  onRun (run: RunLine, view: LedgerView): string | undefined {
    if (run.asks !== 'rate') {
      this.#limited.delete(run.endpoint)
      return undefined
    }
    const request = view.asked(run.requestId)
    if (request === undefined) return undefined
    const limited = this.#limited.get(run.endpoint) ?? { since: run.at, informedAt: new Map(), arrivals: [] }
    this.#limited.set(run.endpoint, limited)
    const { host } = request
    const informedAt = limited.informedAt.get(host)
    limited.informedAt.set(host, Math.min(informedAt ?? Number.POSITIVE_INFINITY, run.at + headMs(request.work) + INFORMED_MS))
    const counts = informedAt !== undefined && run.at >= informedAt && run.at > limited.since + NOTICE_MS && !isExcused(run, host, limited.since, view)
    if (!counts) return undefined
    limited.arrivals = [...limited.arrivals.filter(at => at > run.at - WINDOW_MS), run.at]
    return limited.arrivals.length > MOST_IN_WINDOW ? `${run.endpoint} had named ${ASKED_RATE} requests a second and got ${limited.arrivals.length} in ${WINDOW_MS} ms` : undefined
  }
}

function isExcused ({ endpoint, at }: RunLine, host: string, since: number, { timeLine }: LedgerView): boolean {
  return timeLine.isExcused(host, since, at) || timeLine.isExcused(endpoint, since, at)
}
