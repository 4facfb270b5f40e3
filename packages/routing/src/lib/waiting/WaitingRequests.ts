/**
 * The requests that wait at one entry host.
 *
 * The leading control host keeps the waiting requests of all hosts in one order and grants capacity to the first of them.
 * This class decides what the host asks the leader and when, and what follows from the answers. Without answers, the host
 * tries its own requests again in the same order.
 */
import { ByteBudget } from './ByteBudget.js'
import {
  MAX_CANDIDATES, MAX_REPORTED_OUTCOMES, MAX_REPORTED_WAITING, type GrantOutcome, type PlainRejection, type ReservedEndpoint, type WaitingAnswer, type WaitingReport, type WaitingRequest
} from './waitingMessages.js'
import { waitingRank } from './waitingRank.js'

/** A request that joins the queue. Its age and the remaining patience follow from the times. */
export interface JoiningRequest extends Omit<WaitingRequest, 'ticket' | 'ageMs' | 'patienceMs'> {
  /** When the request arrived, in monotonic milliseconds. */
  readonly arrivedAt: number
  /** Until when its caller waits, in monotonic milliseconds. */
  readonly patienceUntil: number
  /** Bytes of its body, which this host keeps in memory. */
  readonly bodyBytes: number
}

/** How a request joins the queue. */
export interface JoinOptions {
  /** Earliest time at which it may be granted capacity, in monotonic milliseconds; at once by default. */
  readonly notBefore?: number
  /** Ticket of its previous wait, so that the leader knows that it could not use a grant or was rejected; a new one by default. */
  readonly ticket?: number
}

/** What the host has to do with a request. */
export type WaitingStep =
  /** The leader has granted capacity at an endpoint, which was reserved until then if `wasReserved`. */
  | { readonly kind: 'send', readonly ticket: number, readonly endpoint: string, readonly wasReserved: boolean }
  /** The leader estimates that the request can't be served within its caller's patience. */
  | { readonly kind: 'refuse', readonly ticket: number, readonly retryAfterMs: number }
  /** The caller's patience no longer suffices for the work. */
  | { readonly kind: 'expire', readonly ticket: number }

/** Most requests that wait at a host. */
export const MAX_WAITING_REQUESTS = 512

/** Most bytes of bodies of waiting requests, in bytes. */
export const MAX_WAITING_BODY_BYTES = 8 * 1024 * 1024

/** Time without an answer after which the host tries its requests by itself, in milliseconds; the leader holds questions for up to 100 ms. */
export const LEADER_TIMEOUT_MS = 250

/** Interval at which the host tries its requests by itself, in milliseconds; an engine makes about ten decoding steps in that time. */
export const RETRY_INTERVAL_MS = 40

/** Shortest interval between questions, in milliseconds, so that requests that arrive together share a question. */
const MIN_QUESTION_INTERVAL_MS = 5

/** Fewest requests in a question; fewer are stated only if fewer wait. */
const MIN_REPORTED_WAITING = 8

/**
 * Age from which the candidates of a request are chosen again, in milliseconds. Engines fill and empty within about that
 * time, and the leader grants a request only its candidates.
 */
const CANDIDATES_LIFETIME_MS = 500

/** Approximate size of a question without requests, of a request, and of the name of a candidate, which a question states once, in bytes. */
const QUESTION_BYTES = { base: 60, request: 30, name: 13 }

/** Bytes of questions that a host sends in a millisecond, and at once; control traffic may take 10 KB a second in all. */
const QUESTION_BUDGET = { bytesPerMs: 6, burstBytes: 4096 }

/** Time for which the contended services and the reserved engines of an answer are used, in milliseconds. */
const ANSWER_LIFETIME_MS = 1000

/**
 * Time that a request needs before its caller's patience ends, as a share of the estimated work. Under overload, most
 * requests reach the front when their patience is nearly over. Without a margin, one in forty calls was sent too late and
 * got a 504, and its work was lost to others.
 */
const WORK_MARGIN = 1.3

interface Entry {
  readonly ticket: number
  readonly request: JoiningRequest
  candidates: readonly string[]
  /** When the candidates were chosen, in monotonic milliseconds; undefined until their age has been asked for. */
  chosenAt: number | undefined
  /** Earliest time at which the request may be granted capacity, in monotonic milliseconds. */
  readonly notBefore: number
}

interface UnansweredReport<Content> {
  readonly content: Content
  /** Sequence of the last report that stated it; undefined if none did. */
  sequence: number | undefined
}

/** Queue of one host. */
export class WaitingRequests {
  readonly #waiting = new Map<number, Entry>()
  /** Grants that have not been used or returned, with their expiry in monotonic milliseconds. */
  readonly #grants = new Map<number, number>()
  /** Requests that the leader knows and that it has neither granted nor refused. */
  readonly #known = new Set<number>()
  readonly #budget = new ByteBudget(QUESTION_BUDGET)
  #outcomes: Array<UnansweredReport<GrantOutcome>> = []
  #rejections: Array<UnansweredReport<PlainRejection>> = []
  #nextTicket = 1
  #sequence = 0
  #bodyBytes = 0
  #hasNews = false
  /** Time of the last question, and of the first one since the last answer. */
  #askedAt = Number.NEGATIVE_INFINITY
  #unansweredSince: number | undefined
  #isOpen = false
  #isAlone = false
  #retriedAt = Number.NEGATIVE_INFINITY
  #answer: { readonly sequence: number, readonly at: number, readonly contended: ReadonlySet<string>, readonly reserved: readonly ReservedEndpoint[] } | undefined

  /** @param host - unique name of this host */
  constructor (private readonly host: string) {}

  /** Number of requests that wait. */
  get size (): number { return this.#waiting.size }

  /** Bytes of the bodies of the requests that wait. */
  get bodyBytes (): number { return this.#bodyBytes }

  /** Whether the host tries its requests by itself because the leader does not answer. */
  get isAlone (): boolean { return this.#isAlone }

  /**
   * @param request - request to add
   * @param options - earliest time of a grant, and the ticket of an earlier wait
   * @returns its ticket; undefined if the queue is full
   */
  join (request: JoiningRequest, { notBefore = Number.NEGATIVE_INFINITY, ticket = this.#nextTicket }: JoinOptions = {}): number | undefined {
    if (this.#waiting.size >= MAX_WAITING_REQUESTS || this.#bodyBytes + request.bodyBytes > MAX_WAITING_BODY_BYTES) return undefined
    this.#nextTicket = Math.max(this.#nextTicket, ticket + 1)
    this.#waiting.set(ticket, { ticket, request, notBefore, candidates: request.candidates, chosenAt: undefined })
    this.#bodyBytes += request.bodyBytes
    this.#hasNews = true
    return ticket
  }

  /** @param ticket - request that no longer waits, because it was sent without a grant or its caller has left */
  leave (ticket: number): void {
    this.#remove(ticket)
  }

  /**
   * Records what became of a grant.
   *
   * @param ticket - ticket that a `send` step named
   * @param wasSent - whether the request was sent; otherwise the capacity is returned
   */
  settle (ticket: number, wasSent: boolean): void {
    if (this.#grants.delete(ticket)) this.#recordOutcome({ ticket, wasSent })
  }

  /**
   * Finds the request whose candidates have to be chosen again.
   *
   * @param now - monotonic milliseconds
   * @returns its ticket; undefined if the candidates of all requests are recent
   */
  findOutdated (now: number): number | undefined {
    let oldest: { readonly ticket: number, readonly chosenAt: number } | undefined
    for (const entry of this.#waiting.values()) {
      if (entry.candidates.length === 0) continue
      const chosenAt = entry.chosenAt ??= now
      if (now - chosenAt >= CANDIDATES_LIFETIME_MS && chosenAt < (oldest?.chosenAt ?? now)) oldest = { ticket: entry.ticket, chosenAt }
    }
    return oldest?.ticket
  }

  /**
   * Replaces the candidates of a request, apart from engines that are reserved: one may be reserved for this request.
   *
   * @param ticket - request that waits
   * @param candidates - incarnations, the best first
   * @param now - monotonic milliseconds
   */
  replaceCandidates (ticket: number, candidates: readonly string[], now: number): void {
    const entry = this.#waiting.get(ticket)
    if (entry === undefined) return
    const reserved = new Set(this.#recentAnswer(now)?.reserved.map(({ endpoint }) => endpoint))
    const kept = entry.candidates.filter(candidate => reserved.has(candidate))
    entry.candidates = [...new Set([...kept, ...candidates])].slice(0, MAX_CANDIDATES)
    entry.chosenAt = now
  }

  /** @param rejection - rejection of a call by a full endpoint */
  recordRejection (rejection: PlainRejection): void {
    this.#rejections.push({ content: rejection, sequence: undefined })
    if (this.#rejections.length > MAX_REPORTED_OUTCOMES) this.#rejections.shift()
  }

  /**
   * @param ticket - ticket that a `send` step named
   * @param now - monotonic milliseconds
   * @returns whether the grant may still be used
   */
  isGranted (ticket: number, now: number): boolean {
    return (this.#grants.get(ticket) ?? Number.NEGATIVE_INFINITY) > now
  }

  /**
   * @param service - name of a service
   * @param now - monotonic milliseconds
   * @returns whether requests for the service have to join the queue, because others wait at this host or at another
   */
  isContended (service: string, now: number): boolean {
    return (this.#recentAnswer(now)?.contended.has(service) ?? false) || this.#hasWaitingFor(service)
  }

  /**
   * @param urgency - urgency of a request
   * @param now - monotonic milliseconds
   * @returns incarnations of engines that are reserved for a request that goes before it
   */
  reservedFor (urgency: number, now: number): readonly string[] {
    return (this.#recentAnswer(now)?.reserved ?? []).filter(reserved => urgency >= reserved.urgency).map(({ endpoint }) => endpoint)
  }

  /**
   * Returns the question to ask now, which counts as sent.
   *
   * @param now - monotonic milliseconds
   * @returns the question; undefined if none is due
   */
  takeQuestion (now: number): WaitingReport | undefined {
    if (this.#earliestQuestionAt() > now) return undefined
    const { entries, bytes } = this.#reportable(now)
    if (entries.length === 0 ? !this.#hasReturns : this.#budget.availableAt(bytes, now) > now) return undefined
    this.#budget.spend(bytes, now)
    this.#sequence += 1
    this.#askedAt = now
    this.#hasNews = false
    this.#isOpen = entries.length > 0
    this.#unansweredSince = this.#isOpen ? this.#unansweredSince ?? now : undefined
    this.#known.clear()
    for (const { ticket } of entries) this.#known.add(ticket)
    for (const report of [...this.#outcomes, ...this.#rejections]) report.sequence = this.#sequence
    return {
      host: this.host,
      sequence: this.#sequence,
      waiting: entries.map(entry => stateRequest(entry, now)),
      outcomes: this.#outcomes.map(({ content }) => content),
      ...(this.#rejections.length === 0 ? {} : { rejections: this.#rejections.map(({ content }) => content) })
    }
  }

  /**
   * @param answer - answer of the leader
   * @param now - monotonic milliseconds
   * @returns what to do
   */
  applyAnswer ({ sequence, grants, refusals, reserved, contended }: WaitingAnswer, now: number): WaitingStep[] {
    this.#outcomes = this.#outcomes.filter(report => report.sequence === undefined || report.sequence > sequence)
    this.#rejections = this.#rejections.filter(report => report.sequence === undefined || report.sequence > sequence)
    if (sequence === this.#sequence) this.#isOpen = false
    // The answer may have crossed a newer question.
    this.#unansweredSince = this.#isOpen ? this.#askedAt : undefined
    this.#isAlone = false
    const reservedBefore = new Set(this.#recentAnswer(now)?.reserved.map(({ endpoint }) => endpoint))
    const reservedNow = new Set(reserved.map(({ endpoint }) => endpoint))
    if (this.#answer === undefined || sequence > this.#answer.sequence) this.#answer = { sequence, at: now, contended: new Set(contended), reserved }
    const steps: WaitingStep[] = []
    for (const { ticket, endpoint, validMs } of grants) {
      this.#known.delete(ticket)
      if (!this.#remove(ticket)) {
        this.#recordOutcome({ ticket, wasSent: false })
        continue
      }
      this.#grants.set(ticket, now + validMs)
      // The leader ends a reservation with the grant for which it was made.
      steps.push({ kind: 'send', ticket, endpoint, wasReserved: reservedBefore.has(endpoint) && !reservedNow.has(endpoint) })
    }
    for (const { ticket, retryAfterMs } of refusals) {
      this.#known.delete(ticket)
      if (this.#remove(ticket)) steps.push({ kind: 'refuse', ticket, retryAfterMs })
    }
    return steps
  }

  /**
   * Notes that the question that was taken last could not be sent, because no leader is known.
   *
   * @param now - monotonic milliseconds
   */
  recordNoLeader (now: number): void {
    if (!this.#isAlone) this.#startAlone(now)
  }

  /** Notes that there is another leader, which knows none of the requests. */
  leaderChanged (): void {
    this.#isOpen = false
    this.#unansweredSince = undefined
    this.#hasNews = this.#waiting.size > 0
    this.#known.clear()
  }

  /**
   * Ends waits and grants that have expired, and detects that the leader does not answer.
   *
   * @param now - monotonic milliseconds
   * @returns what to do
   */
  advance (now: number): WaitingStep[] {
    for (const [ticket, expiresAt] of [...this.#grants]) if (expiresAt <= now) this.settle(ticket, false)
    if (this.#unansweredSince !== undefined && now - this.#unansweredSince >= LEADER_TIMEOUT_MS && !this.#isAlone) this.#startAlone(now)
    const expired = [...this.#waiting.values()].filter(entry => expiresAt(entry) <= now)
    for (const { ticket } of expired) this.#remove(ticket)
    return expired.map(({ ticket }) => ({ kind: 'expire', ticket }))
  }

  /**
   * Returns the requests that the host has to try by itself now.
   *
   * @param now - monotonic milliseconds
   * @returns tickets in the order in which to try them; none while the leader answers
   */
  takeRetries (now: number): readonly number[] {
    if (!this.#isAlone || now < this.#retriedAt + RETRY_INTERVAL_MS) return []
    this.#retriedAt = now
    return this.#ordered(now).map(({ ticket }) => ticket)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns when anything is due next, in monotonic milliseconds; infinity if nothing is
   */
  nextDueAt (now: number): number {
    const silentAt = this.#isOpen && this.#unansweredSince !== undefined && !this.#isAlone ? this.#unansweredSince + LEADER_TIMEOUT_MS : Number.POSITIVE_INFINITY
    const retryAt = this.#isAlone && this.#waiting.size > 0 ? this.#retriedAt + RETRY_INTERVAL_MS : Number.POSITIVE_INFINITY
    const expiries = [...this.#waiting.values()].reduce((earliest, entry) => Math.min(earliest, expiresAt(entry)), Number.POSITIVE_INFINITY)
    const grantEnds = [...this.#grants.values()].reduce((earliest, at) => Math.min(earliest, at), Number.POSITIVE_INFINITY)
    return Math.min(silentAt, retryAt, expiries, grantEnds, this.#questionDueAt(now))
  }

  /** Returns when the next question may be sent; infinity if there is nothing to ask or report. */
  #questionDueAt (now: number): number {
    const earliestAt = this.#earliestQuestionAt()
    // The requests are put in order only once a question may be sent.
    if (now < earliestAt && this.#waiting.size > 0) return earliestAt
    const { entries, bytes } = this.#reportable(now)
    if (entries.length === 0) return this.#hasReturns ? earliestAt : this.#firstUnblockedAt(now)
    return Math.max(earliestAt, this.#budget.availableAt(bytes, now))
  }

  /** Returns when the next question may be sent, apart from its content and its size. */
  #earliestQuestionAt (): number {
    const isAnswerDue = this.#isOpen && !this.#hasNews && this.#waiting.size > 0
    return this.#askedAt + (isAnswerDue ? LEADER_TIMEOUT_MS : MIN_QUESTION_INTERVAL_MS)
  }

  /** Whether the leader reserves capacity for requests that no longer wait, or will grant them capacity in vain. */
  get #hasReturns (): boolean {
    return this.#outcomes.some(({ content, sequence }) => !content.wasSent && sequence === undefined) || [...this.#known].some(ticket => !this.#waiting.has(ticket))
  }

  #firstUnblockedAt (now: number): number {
    return [...this.#waiting.values()].reduce((earliest, { notBefore }) => notBefore > now ? Math.min(earliest, notBefore) : earliest, Number.POSITIVE_INFINITY)
  }

  /**
   * Selects the requests for the next question: as many as it may state, but never fewer than a few, for which the question
   * waits if need be.
   */
  #reportable (now: number): { readonly entries: readonly Entry[], readonly bytes: number } {
    const available = this.#budget.available(now)
    const entries: Entry[] = []
    const names = new Set<string>()
    let bytes = QUESTION_BYTES.base
    for (const entry of this.#ordered(now)) {
      for (const name of entry.candidates) names.add(name)
      const size = QUESTION_BYTES.base + QUESTION_BYTES.request * (entries.length + 1) + QUESTION_BYTES.name * names.size
      if (entries.length >= MIN_REPORTED_WAITING && (entries.length >= MAX_REPORTED_WAITING || size > available)) break
      bytes = size
      entries.push(entry)
    }
    return { entries, bytes }
  }

  /** Returns the requests that may be granted capacity, in this host's order: by rank, then by age. */
  #ordered (now: number): readonly Entry[] {
    return [...this.#waiting.values()]
      .filter(({ notBefore }) => notBefore <= now)
      .map(entry => ({ entry, rank: rankOf(entry.request, now) }))
      .sort((left, right) => left.rank - right.rank || left.entry.request.arrivedAt - right.entry.request.arrivedAt)
      .map(({ entry }) => entry)
  }

  #recentAnswer (now: number): { readonly contended: ReadonlySet<string>, readonly reserved: readonly ReservedEndpoint[] } | undefined {
    return this.#answer !== undefined && now - this.#answer.at < ANSWER_LIFETIME_MS ? this.#answer : undefined
  }

  #hasWaitingFor (service: string): boolean {
    for (const { request } of this.#waiting.values()) if (request.service === service) return true
    return false
  }

  #startAlone (now: number): void {
    this.#isAlone = true
    // The requests have just been tried when they joined.
    this.#retriedAt = now
  }

  #recordOutcome (outcome: GrantOutcome): void {
    this.#outcomes.push({ content: outcome, sequence: undefined })
    if (this.#outcomes.length > MAX_REPORTED_OUTCOMES) this.#outcomes.shift()
  }

  #remove (ticket: number): boolean {
    const entry = this.#waiting.get(ticket)
    if (entry === undefined) return false
    this.#waiting.delete(ticket)
    this.#bodyBytes -= entry.request.bodyBytes
    return true
  }
}

function rankOf ({ urgency, objectiveMs, workMs, arrivedAt, patienceUntil }: JoiningRequest, now: number): number {
  return waitingRank({ urgency, objectiveMs, workMs, ageMs: now - arrivedAt, patienceMs: patienceUntil - now })
}

/** Returns when the caller's remaining patience no longer suffices for the work, in monotonic milliseconds. */
function expiresAt ({ request: { patienceUntil, workMs } }: Entry): number {
  return patienceUntil - workMs * WORK_MARGIN
}

/** Returns a request as a question states it. */
function stateRequest ({ ticket, request, candidates }: Entry, now: number): WaitingRequest {
  const { kind, service, customer, urgency, tokens, prefillTokens = tokens, objectiveMs, workMs, arrivedAt, patienceUntil } = request
  return { ticket, kind, service, customer, urgency, tokens, prefillTokens, candidates, objectiveMs, workMs, ageMs: now - arrivedAt, patienceMs: Math.max(0, patienceUntil - now) }
}
