/** All hosts together keep the request rate of a restarted endpoint low while it is cold. */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import { FIRST_INCARNATION } from '../SoakCluster.js'
import { COLD_DURATION_MS, COLD_REQUESTS_PER_SECOND } from '../soakSite.js'

const WINDOW_MS = 1000

/** Maximum number of requests in the window: 1.5 times the cold rate, plus 5. */
const MAX_IN_WINDOW = 1.5 * COLD_REQUESTS_PER_SECOND + 5

/** {@link RequestCheck} of the request rate of cold endpoints. */
export class ColdRatesAreKeptCheck implements RequestCheck {
  readonly guarantee = 'cold-rates-are-kept'
  readonly #arrivals = new Map<string, number[]>()

  /** @param hasColdReturns - whether restarted endpoints are listed as cold in this run */
  constructor (private readonly hasColdReturns: boolean) {}

  onRun ({ endpoint, at }: RunLine, { timeline }: HistoryView): string | undefined {
    if (!this.hasColdReturns || endpoint.endsWith(FIRST_INCARNATION)) return undefined
    const startedAt = timeline.entries.find(({ process, action }) => process === endpoint && action === 'started')?.at ?? at
    if (at > startedAt + COLD_DURATION_MS || timeline.isExcused(endpoint, startedAt, at)) return undefined
    const arrivals = [...(this.#arrivals.get(endpoint) ?? []).filter(earlier => earlier > at - WINDOW_MS), at]
    this.#arrivals.set(endpoint, arrivals)
    return arrivals.length > MAX_IN_WINDOW ? `${endpoint} was cold and received ${arrivals.length} requests in ${WINDOW_MS} ms` : undefined
  }
}
