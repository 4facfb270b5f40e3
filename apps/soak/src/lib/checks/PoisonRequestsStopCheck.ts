/**
 * Hosts stop sending a request that crashes the endpoints that run it: after it has crashed
 * three endpoints and the hosts have had time to learn of this, it runs at most three more
 * times, no matter how often it is sent and to which hosts.
 */
import type { RunLine } from '../standinProtocol.js'
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import type { SentRequest } from '../observations.js'

/** Number of endpoints after whose crashes the hosts must know that the request causes them. */
const KNOWN_AFTER_CRASHES = 3

/** The same for a part of prompts, whose requests are all different. */
const PART_KNOWN_AFTER_CRASHES = 5

/** How long it may take until all hosts know, in milliseconds. Runs within this time of a disturbance of their host or of a control host are not counted. */
const PROPAGATION_MS = 3000

/** Maximum number of runs that may start after that time. */
const MAX_LATE_RUNS = 3

interface CrashRecord {
  /** When each endpoint crashed. Several requests that are lost with one endpoint are one crash: no host can tell them apart. */
  readonly crashedAt: Map<string, number>
  lateRuns: number
}

/** {@link RequestCheck} of requests that crash endpoints, identified by their shared part, or else by kind, customer and body. */
export class PoisonRequestsStopCheck implements RequestCheck {
  readonly guarantee = 'poison-requests-stop'
  readonly #crashRecords = new Map<string, CrashRecord>()

  onRun (run: RunLine, view: HistoryView): string | undefined {
    const request = view.request(run.requestId)
    const crashDelayMs = request?.work.crashesEndpointAfterMs
    if (request === undefined || crashDelayMs === undefined) return undefined
    const record = this.#crashRecordOf(request)
    const knownAfter = request.part === undefined ? KNOWN_AFTER_CRASHES : PART_KNOWN_AFTER_CRASHES
    const crashTimes = [...record.crashedAt.values()].sort((left, right) => left - right)
    const knownAt = (crashTimes[knownAfter - 1] ?? Number.POSITIVE_INFINITY) + PROPAGATION_MS
    record.crashedAt.set(run.endpoint, Math.min(run.at + crashDelayMs, record.crashedAt.get(run.endpoint) ?? Number.POSITIVE_INFINITY))
    if (run.at <= knownAt || isExcused(run, request, view)) return undefined
    record.lateRuns += 1
    if (record.lateRuns <= MAX_LATE_RUNS) return undefined
    return `${request.kind} of ${request.customer} ran ${record.lateRuns} more times after hosts should have known that it crashes endpoints; ${record.crashedAt.size} crashes in total`
  }

  #crashRecordOf ({ kind, customer, body, part }: SentRequest): CrashRecord {
    const key = JSON.stringify(part === undefined ? [kind, customer, body] : [part])
    const existing = this.#crashRecords.get(key)
    if (existing !== undefined) return existing
    const fresh: CrashRecord = { crashedAt: new Map(), lateRuns: 0 }
    this.#crashRecords.set(key, fresh)
    return fresh
  }
}

/** Control hosts that were just disturbed cannot inform hosts, and a host that was just disturbed may not have been informed. */
function isExcused ({ at }: RunLine, { host }: SentRequest, { timeline }: HistoryView): boolean {
  const slot = host.split('#')[0] ?? host
  return timeline.wasDisturbed('control-', at - PROPAGATION_MS, at) || timeline.wasDisturbed(slot, at - PROPAGATION_MS, at)
}
