/** Hosts that are partitioned from all endpoints get their callers served nearly as often as the other hosts. */
import type { HistoryView, RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'
import type { Timeline } from '../Timeline.js'

/** Time from the start of a cut from which requests count, in milliseconds. */
const NOTICE_MS = 3000

/** Smallest share of the requests at hosts that are partitioned that is served, compared with the share at the others. */
const MIN_RELATIVE_SHARE = 2 / 3

/** Failures at hosts that are partitioned that never break the guarantee: so many, and one in so many of their requests. */
const ALLOWED_FAILURES = 10
const ALLOWED_FAILURE_SHARE = 1 / 50

/** Name of an entry host's slot, at the start of the names of its processes. */
const ENTRY_SLOT = /^entry-\d+(?=#)/

const OK = 200

interface Cut {
  readonly hosts: readonly string[]
  readonly from: number
  readonly until: number
}

interface CountedOutcome {
  readonly slot: string
  readonly sentAt: number
  readonly isServed: boolean
  /** Whether another host was there all the while that was not cut off itself. */
  readonly hadOtherHost: boolean
}

/** {@link RequestCheck} of the requests at hosts that are partitioned. */
export class CutOffHostsServeCheck implements RequestCheck {
  readonly guarantee = 'cut-off-hosts-serve'
  readonly #cuts: Cut[] = []
  readonly #outcomes: CountedOutcome[] = []

  /**
   * Records a cut that starts now.
   *
   * @param hosts - slots of the hosts that are partitioned
   * @param durationMs - how long the cut lasts, in milliseconds
   */
  recordCut (hosts: readonly string[], durationMs: number): void {
    const now = Date.now()
    this.#cuts.push({ hosts, from: now + NOTICE_MS, until: now + durationMs })
  }

  onOutcome ({ request, end, endedAt }: Outcome, { timeline }: HistoryView): undefined {
    // Hosts that are stopped, killed or paused are not served, and neither are requests that crash their endpoint.
    const stop = timeline.stopOf(request.host)
    // From SIGTERM on, a host refuses what it can't finish, until it exits.
    if (stop !== undefined && endedAt >= stop.at) return
    const isDisturbed = timeline.entries.some(({ process, action, at, until }) => process === request.host && action.startsWith('SIG') && at <= endedAt && until >= request.sentAt - NOTICE_MS)
    if (isDisturbed || request.work.crashesEndpointAfterMs !== undefined || request.kind === 'probe') return
    const slot = request.host.split('#')[0] ?? ''
    const hadOtherHost = this.#entrySlots(timeline).some(other => other !== slot && this.#couldServe(other, request.sentAt - NOTICE_MS, endedAt, timeline))
    this.#outcomes.push({ slot, sentAt: request.sentAt, isServed: end.kind === 'answered' && end.status === OK, hadOtherHost })
  }

  #entrySlots (timeline: Timeline): string[] {
    return [...new Set(timeline.entries.flatMap(({ process }) => ENTRY_SLOT.exec(process)?.[0] ?? []))]
  }

  #couldServe (slot: string, from: number, to: number, timeline: Timeline): boolean {
    return timeline.ranThrough(slot, from, to) && !this.#cuts.some(cut => cut.hosts.includes(slot) && cut.from - NOTICE_MS <= to && cut.until >= from)
  }

  onEnd (): string[] {
    return this.#cuts.flatMap(cut => this.#unservedIn(cut))
  }

  #unservedIn ({ hosts, from, until }: Cut): string[] {
    const during = this.#outcomes.filter(({ sentAt }) => sentAt >= from && sentAt <= until)
    const isCutOff = ({ slot, sentAt }: CountedOutcome): boolean => this.#cuts.some(cut => cut.hosts.includes(slot) && sentAt >= cut.from - NOTICE_MS && sentAt <= cut.until)
    // A host that is cut off can only hand its requests to another one.
    const there = during.filter(({ slot, hadOtherHost }) => hosts.includes(slot) && hadOtherHost)
    const elsewhere = during.filter(outcome => !isCutOff(outcome))
    const served = there.filter(({ isServed }) => isServed).length
    const failures = there.length - served
    if (elsewhere.length === 0 || failures <= ALLOWED_FAILURES + there.length * ALLOWED_FAILURE_SHARE) return []
    const servedElsewhere = elsewhere.filter(({ isServed }) => isServed).length
    const isUnserved = served / there.length < MIN_RELATIVE_SHARE * servedElsewhere / elsewhere.length
    return isUnserved ? [`${hosts.join(' ')} served ${served} of ${there.length} requests while cut off, the others ${servedElsewhere} of ${elsewhere.length}`] : []
  }
}
