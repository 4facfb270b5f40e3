/**
 * Weighted fair admission with a limit on tokens in flight.
 *
 * Requests are admitted immediately while they fit within the limit. Otherwise
 * they are queued by virtual start time: each request advances its customer's
 * virtual clock by tokens divided by share, so a customer that sends a lot queues
 * behind those that send little. A request whose estimated wait exceeds its limit
 * is refused immediately.
 */

/** A request for admission. */
export interface AdmissionRequest {
  readonly id: string
  readonly customer: string
  readonly share: number
  /** Prompt and answer tokens that count as in flight while the request runs. */
  readonly tokens: number
  /** Longest wait after which it is still useful to start, in milliseconds. */
  readonly waitLimitMs: number
}

/** Decision on a request. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'queued', readonly estimatedWaitMs: number }
  | { readonly kind: 'refused', readonly reason: 'deadline-unreachable' | 'over-share', readonly retryAfterMs: number }

/** The decision on a request that had been queued. */
export interface AdmissionOutcome {
  readonly id: string
  readonly decision: Exclude<AdmissionDecision, { kind: 'queued' }>
}

interface QueuedRequest {
  readonly request: AdmissionRequest
  readonly startTag: number
  readonly queuedAt: number
}

/** Weight of the newest sample in the moving average of the drain rate. */
const DRAIN_SMOOTHING = 0.1

/** Number of tracked customers at which idle ones are removed. */
const CUSTOMER_CLEANUP_THRESHOLD = 1000

/** Drain rate assumed until it has been measured, in tokens per millisecond. */
const INITIAL_DRAIN_TOKENS_PER_MS = 1

/** Admits, queues or refuses the requests of one entry host. */
export class AdmissionQueue {
  readonly #inFlight = new Map<string, AdmissionRequest>()
  readonly #customerTags = new Map<string, number>()
  #queue: QueuedRequest[] = []
  #virtualTime = 0
  #tokensInFlight = 0
  #drainPerMs = INITIAL_DRAIN_TOKENS_PER_MS
  #lastReleaseAt: number | undefined

  /**
   * @param capacityTokens - most tokens in flight on this host
   * @param queueLimit - most requests in the queue
   */
  constructor (private capacityTokens: number, private readonly queueLimit: number) {}

  get tokensInFlight (): number { return this.#tokensInFlight }
  get queued (): number { return this.#queue.length }

  /**
   * Changes the capacity. Requests in flight are not affected.
   *
   * @param tokens - most tokens in flight on this host
   * @param now - monotonic milliseconds
   * @returns queued requests that were decided
   */
  setCapacity (tokens: number, now: number): AdmissionOutcome[] {
    this.capacityTokens = tokens
    return this.#admitQueued(now)
  }

  /**
   * Asks for admission.
   *
   * @param request - customer, size and wait limit
   * @param now - monotonic milliseconds
   * @returns the decision; a later call returns the final decision on a queued request
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
    return this.#admitQueued(now)
  }

  /**
   * Refuses queued requests whose wait limit has passed.
   *
   * @param now - monotonic milliseconds
   * @returns requests that were decided
   */
  expire (now: number): AdmissionOutcome[] {
    const outcomes: AdmissionOutcome[] = []
    let precedingTokens = 0
    this.#queue = this.#queue.filter(queued => {
      const { request } = queued
      const waited = now - queued.queuedAt
      const remainingWaitMs = this.#estimateDrainMs(precedingTokens + request.tokens)
      const hasTimedOut = waited >= request.waitLimitMs
      if (!hasTimedOut) {
        precedingTokens += request.tokens
        return true
      }
      outcomes.push({ id: request.id, decision: { kind: 'refused', reason: 'deadline-unreachable', retryAfterMs: remainingWaitMs } })
      return false
    })
    return outcomes
  }

  #hasRoom (request: AdmissionRequest): boolean {
    // A request larger than the whole capacity is admitted when nothing else is in flight; otherwise it would never run.
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

  #admitQueued (now: number): AdmissionOutcome[] {
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

  /** Removes customers whose start tag is not ahead of virtual time, because it no longer affects the order. */
  #forgetIdleCustomers (): void {
    if (this.#customerTags.size < CUSTOMER_CLEANUP_THRESHOLD) return
    for (const [customer, tag] of this.#customerTags) {
      if (tag <= this.#virtualTime) this.#customerTags.delete(customer)
    }
  }

  #estimateWait (startTag: number, request: AdmissionRequest): number {
    const ahead = this.#queue.filter(other => other.startTag <= startTag)
    const queuedTokens = ahead.reduce((sum, other) => sum + other.request.tokens, 0)
    const excessTokens = this.#tokensInFlight + queuedTokens + request.tokens - this.capacityTokens
    return this.#estimateDrainMs(Math.max(0, excessTokens))
  }

  #estimateDrainMs (tokens: number): number {
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
