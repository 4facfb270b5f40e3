/** An endpoint that has rejected a request and asked for a pause gets nothing more from that host until the pause is over. */
import { ASKED_PAUSE_MS, type RejectionLine, type RunLine } from '../standinProtocol.js'
import type { LedgerView, RequestCheck } from '../RequestHistory.js'

/** Time after a rejection in which what is under way may still arrive, in milliseconds. */
const CROSSING_MS = 500

/** Requests that may come inside a pause all the same. */
const MOST_INSIDE = 2

interface Pause {
  readonly from: number
  inside: number
}

/** {@link RequestCheck} of pauses. */
export class PausesAreKeptCheck implements RequestCheck {
  readonly promise = 'pauses-are-kept'
  /** The last pause of each endpoint and host. */
  readonly #pauses = new Map<string, Pause>()

  onRun (run: RunLine, view: LedgerView): string | undefined {
    return this.#arrive(run, view)
  }

  onRejection (rejection: RejectionLine, view: LedgerView): string | undefined {
    const detail = this.#arrive(rejection, view)
    const host = view.asked(rejection.requestId)?.host
    const key = `${rejection.endpoint} ${host ?? ''}`
    const present = this.#pauses.get(key)
    // What crosses the first rejection is rejected as well, and asks for no longer pause of its own here.
    if (present === undefined || rejection.at > present.from + ASKED_PAUSE_MS) this.#pauses.set(key, { from: rejection.at, inside: 0 })
    return detail
  }

  #arrive ({ requestId, endpoint, at }: RunLine | RejectionLine, view: LedgerView): string | undefined {
    const host = view.asked(requestId)?.host
    const pause = this.#pauses.get(`${endpoint} ${host ?? ''}`)
    if (host === undefined || pause === undefined || at <= pause.from + CROSSING_MS || at >= pause.from + ASKED_PAUSE_MS) return undefined
    const { timeLine } = view
    if (timeLine.isExcused(host, pause.from, at) || timeLine.isExcused(endpoint, pause.from, at)) return undefined
    pause.inside += 1
    return pause.inside > MOST_INSIDE ? `${endpoint} had asked ${host} for a pause ${at - pause.from} ms before, and got ${pause.inside} requests in it` : undefined
  }
}
