/** While most new connections go to one host, requests are served at the first attempt that a host has read nearly as often as before. */
import type { RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'
import type { Timeline } from '../Timeline.js'

/** Time from the start of a crowd from which requests count, in milliseconds. */
const NOTICE_MS = 3000

/** Time before a crowd with which it is compared, in milliseconds. */
const BEFORE_MS = 4000

/** Smallest share of the requests that is served, compared with the share before. */
const MIN_RELATIVE_SHARE = 3 / 4

/** Number of requests in both times from which their shares mean something. */
const MIN_REQUESTS = 20

/** Actions that change nothing in how many requests are served. */
const NEUTRAL_ACTIONS = /^(most new connections|stores a new site|requests new weights|started)/

const OK = 200

interface Crowd {
  readonly host: string
  readonly from: number
  readonly until: number
}

interface Share {
  readonly requests: number
  readonly served: number
}

/** {@link RequestCheck} of the requests while there is a crowd at one host. */
export class CrowdedHostServesCheck implements RequestCheck {
  readonly guarantee = 'crowded-hosts-serve'
  readonly #crowds: Crowd[] = []
  readonly #outcomes: Outcome[] = []
  readonly #retried = new Set<string>()

  /** @param timeline - faults that were injected; crowds beside others are not compared */
  constructor (private readonly timeline: Timeline) {}

  /**
   * Records a crowd that starts now.
   *
   * @param host - slot of the host that gets most new connections
   * @param durationMs - how long it lasts, in milliseconds
   */
  recordCrowd (host: string, durationMs: number): void {
    const now = Date.now()
    this.#crowds.push({ host, from: now, until: now + durationMs })
  }

  onOutcome (outcome: Outcome): undefined {
    const { request } = outcome
    if (request.work.crashesEndpointAfterMs !== undefined || request.kind === 'probe') return
    // A connection that was closed unread does not count if there is a later attempt.
    if (request.retries !== undefined) this.#retried.add(request.retries)
    this.#outcomes.push(outcome)
  }

  onEnd (): string[] {
    return this.#crowds.filter(crowd => !this.#isDisturbed(crowd)).flatMap(({ host, from, until }) => {
      const before = this.#shareOf(from - BEFORE_MS, from)
      const during = this.#shareOf(from + NOTICE_MS, until)
      if (Math.min(before.requests, during.requests) < MIN_REQUESTS) return []
      const isUnserved = during.served / during.requests < MIN_RELATIVE_SHARE * before.served / before.requests
      return isUnserved ? [`${during.served} of ${during.requests} requests were served while most new connections went to ${host}, ${before.served} of ${before.requests} before`] : []
    })
  }

  #shareOf (from: number, until: number): Share {
    const counted = this.#outcomes.filter(({ request }) => request.sentAt >= from && request.sentAt <= until && !this.#retried.has(request.id))
    return { requests: counted.length, served: counted.filter(({ end }) => end.kind === 'answered' && end.status === OK).length }
  }

  #isDisturbed ({ from, until }: Crowd): boolean {
    return this.timeline.entries.some(entry => entry.at <= until && entry.until >= from - BEFORE_MS && !NEUTRAL_ACTIONS.test(entry.action))
  }
}
