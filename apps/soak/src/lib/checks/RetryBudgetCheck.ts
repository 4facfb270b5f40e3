/**
 * All hosts together stay within the retry budget of a service: in any ten seconds, arrivals beyond the first
 * of each request at its endpoints, rejected ones included, are at most the ratio of the requests plus the slack.
 */
import type { ArrivalLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import { MODEL_SERVICE, PLAIN_SERVICE, RETRY_BUDGET } from '../soakSite.js'

const WINDOW_MS = 10_000

interface Arrival {
  readonly at: number
  readonly isRetry: boolean
}

/** {@link RequestCheck} of the retries of each service. */
export class RetryBudgetCheck implements RequestCheck {
  readonly guarantee = 'retry-budget-is-kept'
  readonly #arrivals = new Map<string, Arrival[]>()
  readonly #known = new Set<string>()

  onArrival ({ requestId, at }: ArrivalLine, view: HistoryView): string | undefined {
    const request = view.request(requestId)
    if (request === undefined) return undefined
    const service = request.kind === 'generation' ? MODEL_SERVICE : PLAIN_SERVICE
    const isRetry = this.#known.has(requestId)
    this.#known.add(requestId)
    // Lines of several endpoints may come slightly out of order; the window is counted back from the latest one.
    const recent = [...(this.#arrivals.get(service) ?? []).filter(arrival => arrival.at > at - WINDOW_MS), { at, isRetry }]
    this.#arrivals.set(service, recent)
    if (!isRetry) return undefined
    const retries = recent.filter(arrival => arrival.isRetry).length
    const requests = recent.length - retries
    const { ratio, slack } = RETRY_BUDGET
    return retries > ratio * requests + slack ? `${retries} retries for ${requests} requests to ${service} within ${WINDOW_MS} ms` : undefined
  }
}
