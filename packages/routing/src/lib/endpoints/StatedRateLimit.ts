/**
 * The rate of requests that an endpoint states it accepts from all hosts together.
 *
 * The limit holds for as long as answers state it; the first answer that does not lifts it. Hosts report to each other
 * what they have read in answers, because a host that may send the endpoint nothing for a while would not learn
 * otherwise that the limit is lifted.
 */

/** Age up to which a host reports what it has read to the others, in milliseconds: long enough for a few reports, as datagrams get lost. */
const REPORTING_MS = 2000

/** Relative change of a rate from which it is logged; endpoints may compute the rate anew for each answer. */
const NOTABLE_CHANGE = 0.25

/** The newest statement of an endpoint, as hosts report it to each other. */
export interface RateLimitStatement {
  /** Undefined if the endpoint states no limit any more. */
  readonly requestsPerSecond: number | undefined
  readonly statedAgoMs: number
}

/** The stated rate limit of one endpoint. */
export class StatedRateLimit {
  #requestsPerSecond: number | undefined
  #statedAt = Number.NEGATIVE_INFINITY
  /** What this host has read last itself. */
  #observed: { readonly requestsPerSecond: number | undefined, readonly at: number } | undefined

  /** The rate that was stated last; undefined if none is stated. */
  get requestsPerSecond (): number | undefined { return this.#requestsPerSecond }

  /** Monotonic milliseconds of the newest statement; minus infinity if no limit was ever stated. */
  get statedAt (): number { return this.#statedAt }

  /**
   * Records what an answer to this host states.
   *
   * @param requestsPerSecond - stated rate; undefined if the answer states no limit
   * @param now - monotonic milliseconds
   * @returns whether the limit has changed notably
   */
  observeAnswer (requestsPerSecond: number | undefined, now: number): boolean {
    // Most endpoints never state a limit; nothing is stored for those.
    if (requestsPerSecond !== undefined || this.#requestsPerSecond !== undefined) this.#observed = { requestsPerSecond, at: now }
    return this.#update(requestsPerSecond, now)
  }

  /**
   * Records what another host has read; a statement that is older than the known one is ignored.
   *
   * @param statement - statement that the other host reported
   * @param now - monotonic milliseconds
   * @returns whether the limit has changed notably
   */
  observeStatement ({ requestsPerSecond, statedAgoMs }: RateLimitStatement, now: number): boolean {
    return this.#update(requestsPerSecond, now - statedAgoMs)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns statement to report to the other hosts; undefined if this host has read none recently
   */
  statement (now: number): RateLimitStatement | undefined {
    if (this.#observed === undefined || now - this.#observed.at > REPORTING_MS) return undefined
    // With the age of a statement that came back from the others, the same statement would become newer with each report.
    return { requestsPerSecond: this.#observed.requestsPerSecond, statedAgoMs: now - this.#observed.at }
  }

  #update (requestsPerSecond: number | undefined, at: number): boolean {
    if (requestsPerSecond === undefined && this.#requestsPerSecond === undefined) return false
    if (at < this.#statedAt) return false
    const isNotable = isNotableChange(requestsPerSecond, this.#requestsPerSecond)
    this.#requestsPerSecond = requestsPerSecond
    this.#statedAt = at
    return isNotable
  }
}

function isNotableChange (now: number | undefined, before: number | undefined): boolean {
  if (now === undefined || before === undefined) return now !== before
  return Math.abs(now - before) > before * NOTABLE_CHANGE
}
