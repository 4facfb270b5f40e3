/**
 * The rate of requests that an endpoint says it takes, from all hosts together.
 *
 * It holds for as long as answers name it; the first one that does not lifts it. Hosts tell each other what they have
 * read, as a host that may send nothing there for a while does not learn otherwise that the limit is lifted.
 */

/** Age up to which a host tells the others what it has read, in milliseconds: a few reports, as datagrams get lost. */
const REPORTING_MS = 2000

/** Change of a rate that is worth a line, as a part of it: endpoints may work it out anew for each answer. */
const NOTABLE_CHANGE = 0.25

/** What an endpoint said last, as hosts tell each other. */
export interface RateLimitStatement {
  /** Undefined if it names no limit any more. */
  readonly requestsPerSecond: number | undefined
  readonly statedAgoMs: number
}

/** Mutable statement of one endpoint. */
export class StatedRateLimit {
  #requestsPerSecond: number | undefined
  #statedAt = Number.NEGATIVE_INFINITY
  #observedAt = Number.NEGATIVE_INFINITY

  /** As stated last; undefined if it names none. */
  get requestsPerSecond (): number | undefined { return this.#requestsPerSecond }

  /** Monotonic milliseconds of the newest statement; minus infinity if no limit was ever stated. */
  get statedAt (): number { return this.#statedAt }

  /**
   * Takes what an answer to this host says.
   *
   * @param requestsPerSecond - as stated, undefined if the answer names no limit
   * @param now - monotonic milliseconds
   * @returns whether the limit is notably another one now
   */
  observeAnswer (requestsPerSecond: number | undefined, now: number): boolean {
    // Most endpoints never state a limit; nothing is remembered of those.
    if (requestsPerSecond !== undefined || this.#requestsPerSecond !== undefined) this.#observedAt = now
    return this.#update(requestsPerSecond, now)
  }

  /**
   * Takes what another host has read; one that is older than what is known is ignored.
   *
   * @param statement - as told
   * @param now - monotonic milliseconds
   * @returns whether the limit is notably another one now
   */
  observeStatement ({ requestsPerSecond, statedAgoMs }: RateLimitStatement, now: number): boolean {
    return this.#update(requestsPerSecond, now - statedAgoMs)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns what the others are to be told; undefined if this host has read nothing of late
   */
  statement (now: number): RateLimitStatement | undefined {
    if (now - this.#observedAt > REPORTING_MS) return undefined
    return { requestsPerSecond: this.#requestsPerSecond, statedAgoMs: now - this.#statedAt }
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
