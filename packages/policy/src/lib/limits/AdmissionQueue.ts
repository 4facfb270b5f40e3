/**
 * Weighted fair admission under a bound on tokens in flight.
 *
 * Requests start at once while there is room. When there is none they wait in
 * order of virtual start time: each customer's clock advances by its tokens over
 * its share, so a customer that sends a lot waits behind those that send little.
 * A request whose estimated wait passes its limit is refused at once.
 */

/** A request that asks for admission. */
export interface AdmissionRequest {
  readonly id: string
  readonly customer: string
  readonly share: number
  /** Prompt and answer tokens it will hold. */
  readonly tokens: number
  /** Longest wait that still makes sense, in milliseconds. */
  readonly waitLimitMs: number
}

/** What becomes of a request. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'queued', readonly estimatedWaitMs: number }
  | { readonly kind: 'refused', readonly reason: 'deadline-unreachable' | 'over-share', readonly retryAfterMs: number }

/** A queued request whose fate was decided later. */
export interface AdmissionOutcome {
  readonly id: string
  readonly decision: Exclude<AdmissionDecision, { kind: 'queued' }>
}

interface QueuedRequest {
  readonly request: AdmissionRequest
  readonly startTag: number
  readonly queuedAt: number
}

/** Weight of the newest sample in the drain rate. */
const DRAIN_SMOOTHING = 0.1

/** Customers remembered before idle ones are forgotten. */
const REMEMBERED_CUSTOMERS = 1000

/** Assumed before anything has drained, in tokens a millisecond. */
const INITIAL_DRAIN = 1

/** One entry host's admission state. */
export class AdmissionQueue {
  readonly #inFlight = new Map<string, AdmissionRequest>()
  readonly #customerTags = new Map<string, number>()
  #queue: QueuedRequest[] = []
  #virtualTime = 0
  #tokensInFlight = 0
  #drainPerMs = INITIAL_DRAIN
  #lastReleaseAt: number | undefined

  /**
   * @param capacityTokens - most tokens in flight on this host
   * @param queueLimit - most requests that wait
   */
  constructor (private capacityTokens: number, private readonly queueLimit: number) {}

  get tokensInFlight (): number { return this.#tokensInFlight }
  get queued (): number { return this.#queue.length }

  /**
   * Changes the capacity; what is in flight stays.
   *
   * @param tokens - most tokens in flight on this host
   * @param now - monotonic milliseconds
   * @returns queued requests that were decided
   */
  setCapacity (tokens: number, now: number): AdmissionOutcome[] {
    this.capacityTokens = tokens
    return this.#drain(now)
  }

  /**
   * Asks for admission.
   *
   * @param request - who and how much
   * @param now - monotonic milliseconds
   * @returns the decision; a queued request is decided by a later call
   */
  request (request: AdmissionRequest, now: number): AdmissionDecision {
    const startTag = Math.max(this.#virtualTime, this.#customerTags.get(request.customer) ?? 0)
    if (this.#queue.length === 0 && this.#hasRoom(request)) {
      this.#admit(request, startTag)
      return { kind: 'admitted' }
    }
    const estimatedWaitMs = this.#estimateWait(startTag, request)
    if (estimatedWaitMs > request.waitLimitMs || this.#queue.length >= this.queueLimit) {
      const behindOthers = startTag > this.#virtualTime
      const reason = behindOthers ? 'over-share' : 'deadline-unreachable'
      return { kind: 'refused', reason, retryAfterMs: Math.max(0, estimatedWaitMs - request.waitLimitMs) }
    }
    this.#customerTags.set(request.customer, startTag + request.tokens / request.share)
    this.#insert({ request, startTag, queuedAt: now })
    return { kind: 'queued', estimatedWaitMs }
  }

  /**
   * Ends an admitted request, or withdraws a queued one.
   *
   * @param id - request id
   * @param now - monotonic milliseconds
   * @returns queued requests that were decided
   */
  release (id: string, now: number): AdmissionOutcome[] {
    const admitted = this.#inFlight.get(id)
    if (admitted === undefined) {
      this.#queue = this.#queue.filter(({ request }) => request.id !== id)
      return []
    }
    this.#inFlight.delete(id)
    this.#tokensInFlight -= admitted.tokens
    this.#observeDrain(admitted.tokens, now)
    return this.#drain(now)
  }

  /**
   * Refuses queued requests that can't start in time any more.
   *
   * @param now - monotonic milliseconds
   * @returns requests that were decided
   */
  expire (now: number): AdmissionOutcome[] {
    const outcomes: AdmissionOutcome[] = []
    let ahead = 0
    this.#queue = this.#queue.filter(queued => {
      const { request } = queued
      const waited = now - queued.queuedAt
      const stillToWait = this.#drainTime(ahead + request.tokens)
      const hopeless = waited >= request.waitLimitMs
      if (!hopeless) {
        ahead += request.tokens
        return true
      }
      outcomes.push({ id: request.id, decision: { kind: 'refused', reason: 'deadline-unreachable', retryAfterMs: stillToWait } })
      return false
    })
    return outcomes
  }

  #hasRoom (request: AdmissionRequest): boolean {
    // A request larger than the whole capacity runs alone instead of never.
    return this.#tokensInFlight === 0 || this.#tokensInFlight + request.tokens <= this.capacityTokens
  }

  #admit (request: AdmissionRequest, startTag: number): void {
    this.#virtualTime = Math.max(this.#virtualTime, startTag)
    const present = this.#customerTags.get(request.customer) ?? 0
    this.#customerTags.set(request.customer, Math.max(present, startTag + request.tokens / request.share))
    this.#inFlight.set(request.id, request)
    this.#tokensInFlight += request.tokens
  }

  #insert (queued: QueuedRequest): void {
    const position = this.#queue.findIndex(other => other.startTag > queued.startTag)
    if (position < 0) this.#queue.push(queued)
    else this.#queue.splice(position, 0, queued)
  }

  #drain (now: number): AdmissionOutcome[] {
    const outcomes = this.expire(now)
    for (;;) {
      const next = this.#queue[0]
      if (next === undefined || !this.#hasRoom(next.request)) break
      this.#queue.shift()
      this.#admit(next.request, next.startTag)
      outcomes.push({ id: next.request.id, decision: { kind: 'admitted' } })
    }
    this.#forgetIdleCustomers()
    return outcomes
  }

  /** A tag that virtual time has passed says nothing any more. */
  #forgetIdleCustomers (): void {
    if (this.#customerTags.size < REMEMBERED_CUSTOMERS) return
    for (const [customer, tag] of this.#customerTags) {
      if (tag <= this.#virtualTime) this.#customerTags.delete(customer)
    }
  }

  #estimateWait (startTag: number, request: AdmissionRequest): number {
    const ahead = this.#queue.filter(other => other.startTag <= startTag)
    const queuedTokens = ahead.reduce((sum, other) => sum + other.request.tokens, 0)
    const missingRoom = this.#tokensInFlight + queuedTokens + request.tokens - this.capacityTokens
    return this.#drainTime(Math.max(0, missingRoom))
  }

  #drainTime (tokens: number): number {
    return tokens / this.#drainPerMs
  }

  #observeDrain (tokens: number, now: number): void {
    const since = this.#lastReleaseAt
    this.#lastReleaseAt = now
    if (since === undefined || now <= since) return
    const sample = tokens / (now - since)
    this.#drainPerMs += (sample - this.#drainPerMs) * DRAIN_SMOOTHING
  }
}
