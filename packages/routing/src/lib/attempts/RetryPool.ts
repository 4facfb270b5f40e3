/** Retry tokens of one service that all hosts have in common, at the leader of the control hosts. */
import { GRANT_VALIDITY_MS } from './retryShares.js'

/** Part of the pool's capacity that only streams that have begun draw on: their callers can't ask again for the rest. */
const RESERVED_PART = 1 / 3

/** Numbers of tokens for the retries that wait on one host. */
export interface RetryWants {
  /** For streams that have begun. */
  readonly begun: number
  /** For other retries. */
  readonly other: number
}

interface Grant {
  readonly tokens: number
  readonly at: number
}

/** Pool of one service. It starts empty. */
export class RetryPool {
  #tokens = 0
  #capacity = 0
  /** Grants that hosts may still spend, the oldest first. */
  #grants: Grant[] = []

  /** Tokens in the pool. */
  get tokens (): number { return this.#tokens }

  /**
   * @param capacity - most tokens in the pool and in grants that hosts may still spend
   * @returns tokens that the pool had beyond the capacity, which are lost
   */
  resize (capacity: number): number {
    this.#capacity = capacity
    const excess = Math.max(0, this.#tokens - capacity)
    this.#tokens -= excess
    return excess
  }

  /**
   * @param tokens - tokens that a host deposits
   * @param now - monotonic milliseconds
   * @returns how many of them the pool has taken; the others are lost
   */
  deposit (tokens: number, now: number): number {
    this.#grants = this.#grants.filter(({ at }) => now - at <= GRANT_VALIDITY_MS)
    const granted = this.#grants.reduce((sum, grant) => sum + grant.tokens, 0)
    const taken = Math.max(0, Math.min(tokens, this.#capacity - this.#tokens - granted))
    this.#tokens += taken
    return taken
  }

  /**
   * Grants tokens, first to streams that have begun.
   *
   * @param wants - tokens that a host wants
   * @param now - monotonic milliseconds
   * @returns number of tokens, which are taken out of the pool
   */
  grant ({ begun, other }: RetryWants, now: number): number {
    const forBegun = grantable(begun, this.#tokens)
    const forOther = grantable(other, this.#tokens - forBegun - this.#capacity * RESERVED_PART)
    const tokens = forBegun + forOther
    if (tokens <= 0) return 0
    this.#tokens -= tokens
    this.#grants.push({ tokens, at: now })
    return tokens
  }
}

/** Returns whole tokens, because a part of a token is of no use to a host. */
function grantable (wanted: number, available: number): number {
  return Math.max(0, Math.min(wanted, Math.floor(available)))
}
