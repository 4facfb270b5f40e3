/** A host sends nothing to an endpoint that has rejected one of its requests and asked for a pause until that pause is over. */
import { REQUESTED_PAUSE_MS, type RejectionLine, type RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'

/** How long after a rejection requests that were in transit may still arrive, in milliseconds. */
const IN_TRANSIT_MS = 500

/** Maximum number of requests that are tolerated during a pause. */
const MAX_DURING_PAUSE = 2

interface Pause {
  readonly from: number
  arrivals: number
}

/** {@link RequestCheck} that reports requests during pauses. */
export class PausesAreKeptCheck implements RequestCheck {
  readonly guarantee = 'pauses-are-kept'
  /** The latest pause, by endpoint and host. */
  readonly #pauses = new Map<string, Pause>()

  onRun (run: RunLine, view: HistoryView): string | undefined {
    return this.#checkArrival(run, view)
  }

  onRejection (rejection: RejectionLine, view: HistoryView): string | undefined {
    const detail = this.#checkArrival(rejection, view)
    const host = view.request(rejection.requestId)?.host
    const key = `${rejection.endpoint} ${host ?? ''}`
    const existing = this.#pauses.get(key)
    // Requests that were in transit during the first rejection are rejected as well; their rejections don't extend the pause.
    if (existing === undefined || rejection.at > existing.from + REQUESTED_PAUSE_MS) this.#pauses.set(key, { from: rejection.at, arrivals: 0 })
    return detail
  }

  #checkArrival ({ requestId, endpoint, at }: RunLine | RejectionLine, view: HistoryView): string | undefined {
    const host = view.request(requestId)?.host
    const pause = this.#pauses.get(`${endpoint} ${host ?? ''}`)
    if (host === undefined || pause === undefined || at <= pause.from + IN_TRANSIT_MS || at >= pause.from + REQUESTED_PAUSE_MS) return undefined
    const { timeline } = view
    if (timeline.isExcused(host, pause.from, at) || timeline.isExcused(endpoint, pause.from, at)) return undefined
    pause.arrivals += 1
    return pause.arrivals > MAX_DURING_PAUSE ? `${endpoint} had asked ${host} for a pause ${at - pause.from} ms earlier and received ${pause.arrivals} requests during it` : undefined
  }
}
