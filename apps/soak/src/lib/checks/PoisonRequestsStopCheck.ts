/**
 * A request that crashes the endpoints that run it stops being sent: once three have ended
 * with it and hosts have had a moment to hear of it, it reaches three more at most,
 * whichever hosts are asked and however often.
 */
import type { RunLine } from '../standinProtocol.js'
import type { LedgerView, RequestCheck } from '../RequestHistory.js'
import type { AskedRequest } from '../observations.js'

/** Ends after which the request must be known for what it does. */
const KNOWN_AFTER_ENDS = 3

/** Time that hosts have to hear of it, in milliseconds; also the calm that a process needs to be held to it. */
const HEARD_MS = 3000

/** Runs that may still begin after that. */
const MOST_LATE_RUNS = 3

interface Ended {
  readonly ends: number[]
  lateRuns: number
}

/** {@link RequestCheck} of requests that crash endpoints. */
export class PoisonRequestsStopCheck implements RequestCheck {
  readonly promise = 'poison-requests-stop'
  readonly #seen = new Map<string, Ended>()

  onRun (run: RunLine, view: LedgerView): string | undefined {
    const request = view.asked(run.requestId)
    const lifeMs = request?.work.crashesEndpointAfterMs
    if (request === undefined || lifeMs === undefined) return undefined
    const ended = this.#endedBy(request)
    const knownAt = (ended.ends[KNOWN_AFTER_ENDS - 1] ?? Number.POSITIVE_INFINITY) + HEARD_MS
    ended.ends.push(run.at + lifeMs)
    ended.ends.sort((left, right) => left - right)
    if (run.at <= knownAt || isExcused(run, request, view)) return undefined
    ended.lateRuns += 1
    if (ended.lateRuns <= MOST_LATE_RUNS) return undefined
    return `${request.kind} of ${request.customer} ran ${ended.lateRuns} times more after it was known to end endpoints; ${ended.ends.length} ended in all`
  }

  #endedBy ({ kind, customer, body }: AskedRequest): Ended {
    const key = JSON.stringify([kind, customer, body])
    const present = this.#seen.get(key)
    if (present !== undefined) return present
    const fresh: Ended = { ends: [], lateRuns: 0 }
    this.#seen.set(key, fresh)
    return fresh
  }
}

/** Control hosts that were just disturbed can't tell hosts anything, and a host that was can't have heard. */
function isExcused ({ at }: RunLine, { host }: AskedRequest, { timeLine }: LedgerView): boolean {
  const slot = host.split('#')[0] ?? host
  return timeLine.wasDisturbed('control-', at - HEARD_MS, at) || timeLine.wasDisturbed(slot, at - HEARD_MS, at)
}
