/** An endpoint that has rejected a request and asked for a pause gets nothing more from that host until the pause is over. */
import { REQUESTED_PAUSE_MS, type RejectionLine, type RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'

/** Time after a rejection in which what is under way may still arrive, in milliseconds. */
const IN_TRANSIT_MS = 500

/** Requests that may come inside a pause all the same. */
const MAX_DURING_PAUSE = 2

interface Pause {
  readonly from: number
  arrivals: number
}

/** {@link RequestCheck} of pauses. */
export class PausesAreKeptCheck implements RequestCheck {
  readonly guarantee = 'pauses-are-kept'
  /** The last pause of each endpoint and host. */
  readonly #pauses = new Map<string, Pause>()

  onRun (run: RunLine, view: HistoryView): string | undefined {
    return this.#checkArrival(run, view)
  }

  onRejection (rejection: RejectionLine, view: HistoryView): string | undefined {
    const detail = this.#checkArrival(rejection, view)
    const host = view.request(rejection.requestId)?.host
    const key = `${rejection.endpoint} ${host ?? ''}`
    const existing = this.#pauses.get(key)
    // What crosses the first rejection is rejected as well, and asks for no longer pause of its own here.
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
    return pause.arrivals > MAX_DURING_PAUSE ? `${endpoint} had asked ${host} for a pause ${at - pause.from} ms before, and got ${pause.arrivals} requests in it` : undefined
  }
}
