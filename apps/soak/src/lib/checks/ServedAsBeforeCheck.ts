/** During a disturbance that hosts have to bear, requests are served at the first attempt that a host has read nearly as often as before. */
import type { GuaranteeName, RequestCheck } from '../RequestHistory.js'
import type { Outcome } from '../observations.js'
import type { Timeline } from '../Timeline.js'

/** Time from the start of a disturbance from which requests count, in milliseconds. */
const NOTICE_MS = 3000

/** Time before a disturbance with which it is compared, in milliseconds. */
const BEFORE_MS = 4000

/** Smallest share of the requests that is served, compared with the share before. */
const MIN_RELATIVE_SHARE = 3 / 4

/** Number of requests in both times from which their shares mean something. */
const MIN_REQUESTS = 20

/** Actions that change nothing in how many requests are served. */
const NEUTRAL_ACTIONS = /^(most new connections|another entry|stores a new site|requests new weights|started)/

const OK = 200

interface Disturbance {
  readonly description: string
  readonly from: number
  readonly until: number
}

interface Share {
  readonly requests: number
  readonly served: number
}

/** {@link RequestCheck} of the requests during disturbances of one kind. */
export class ServedAsBeforeCheck implements RequestCheck {
  readonly #disturbances: Disturbance[] = []
  readonly #outcomes: Outcome[] = []
  readonly #retried = new Set<string>()

  /**
   * @param guarantee - guarantee that is broken if fewer requests are served
   * @param timeline - faults that were injected; disturbances beside others are not compared
   */
  constructor (readonly guarantee: GuaranteeName, private readonly timeline: Timeline) {}

  /**
   * Records a disturbance that starts now.
   *
   * @param description - what is disturbed
   * @param durationMs - how long it lasts, in milliseconds
   */
  record (description: string, durationMs: number): void {
    const now = Date.now()
    this.#disturbances.push({ description, from: now, until: now + durationMs })
  }

  onOutcome (outcome: Outcome): undefined {
    const { request } = outcome
    if (request.work.crashesEndpointAfterMs !== undefined || request.kind === 'probe') return
    // A connection that was closed unread does not count if there is a later attempt.
    if (request.retries !== undefined) this.#retried.add(request.retries)
    this.#outcomes.push(outcome)
  }

  onEnd (): string[] {
    return this.#disturbances.filter(disturbance => this.#isAlone(disturbance)).flatMap(({ description, from, until }) => {
      const before = this.#shareOf(from - BEFORE_MS, from)
      const during = this.#shareOf(from + NOTICE_MS, until)
      if (Math.min(before.requests, during.requests) < MIN_REQUESTS) return []
      const isUnserved = during.served / during.requests < MIN_RELATIVE_SHARE * before.served / before.requests
      return isUnserved ? [`${during.served} of ${during.requests} requests were served while ${description}, ${before.served} of ${before.requests} before`] : []
    })
  }

  #shareOf (from: number, until: number): Share {
    const counted = this.#outcomes.filter(({ request }) => request.sentAt >= from && request.sentAt <= until && !this.#retried.has(request.id))
    return { requests: counted.length, served: counted.filter(({ end }) => end.kind === 'answered' && end.status === OK).length }
  }

  #isAlone ({ from, until }: Disturbance): boolean {
    return !this.timeline.entries.some(entry => entry.at <= until && entry.until >= from - BEFORE_MS && !NEUTRAL_ACTIONS.test(entry.action))
  }
}
