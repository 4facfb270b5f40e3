/**
 * A request that crashes the endpoints that run it stops being sent: once three have ended
 * with it and hosts have had a moment to hear of it, it reaches three more at most,
 * whichever hosts are asked and however often.
 */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import type { SentRequest } from '../observations.js'

/** Ends after which the request must be known for what it does. */
const KNOWN_AFTER_CRASHES = 3

/** Time that hosts have to hear of it, in milliseconds; also the calm that a process needs to be held to it. */
const PROPAGATION_MS = 3000

/** Runs that may still begin after that. */
const MAX_LATE_RUNS = 3

interface CrashRecord {
  readonly crashTimes: number[]
  lateRuns: number
}

/** {@link RequestCheck} of requests that crash endpoints. */
export class PoisonRequestsStopCheck implements RequestCheck {
  readonly guarantee = 'poison-requests-stop'
  readonly #crashRecords = new Map<string, CrashRecord>()

  onRun (run: RunLine, view: HistoryView): string | undefined {
    const request = view.request(run.requestId)
    const crashDelayMs = request?.work.crashesEndpointAfterMs
    if (request === undefined || crashDelayMs === undefined) return undefined
    const record = this.#crashRecordOf(request)
    const knownAt = (record.crashTimes[KNOWN_AFTER_CRASHES - 1] ?? Number.POSITIVE_INFINITY) + PROPAGATION_MS
    record.crashTimes.push(run.at + crashDelayMs)
    record.crashTimes.sort((left, right) => left - right)
    if (run.at <= knownAt || isExcused(run, request, view)) return undefined
    record.lateRuns += 1
    if (record.lateRuns <= MAX_LATE_RUNS) return undefined
    return `${request.kind} of ${request.customer} ran ${record.lateRuns} times more after it was known to end endpoints; ${record.crashTimes.length} ended in all`
  }

  #crashRecordOf ({ kind, customer, body }: SentRequest): CrashRecord {
    const key = JSON.stringify([kind, customer, body])
    const existing = this.#crashRecords.get(key)
    if (existing !== undefined) return existing
    const fresh: CrashRecord = { crashTimes: [], lateRuns: 0 }
    this.#crashRecords.set(key, fresh)
    return fresh
  }
}

/** Control hosts that were just disturbed can't tell hosts anything, and a host that was can't have heard. */
function isExcused ({ at }: RunLine, { host }: SentRequest, { timeline }: HistoryView): boolean {
  const slot = host.split('#')[0] ?? host
  return timeline.wasDisturbed('control-', at - PROPAGATION_MS, at) || timeline.wasDisturbed(slot, at - PROPAGATION_MS, at)
}
