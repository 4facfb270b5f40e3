/** Retry tokens of one service, as requests on this host use them. */
import { RetryAllowance, type RetryBudgetTerms } from '@eelgrassmux/routing/attempts/RetryAllowance'

/** Which requests a retry is for. The callers of streams that have begun can't ask again for the rest, so these draw first. */
export type RetryKind = 'begun' | 'other'

/** A request that waits for a token. */
export interface RetryTokenWait {
  /** Ends the wait without calling back. */
  cancel (): void
}

/** Token state for log lines. */
export interface RetryTokenState {
  /** Tokens in this host's account. */
  readonly account: number
  /** Filled part of the leader's pool at its last answer; -1 if it is not known. */
  readonly pool: number
}

/** Retry tokens of one service. */
export interface RetryTokens {
  /** @param liveHosts - number of entry hosts that may be alive */
  recordRequest (liveHosts: number): void
  /**
   * @param kind - kind of the retry
   * @returns whether {@link RetryTokens.trySpend} would certainly fail
   */
  isUsedUp (kind: RetryKind): boolean
  /**
   * @param kind - kind of the retry
   * @returns whether one more retry may be sent, which is then deducted
   */
  trySpend (kind: RetryKind): boolean
  /** Gives back the token that was spent last, if hosts share the budget. Call in the same turn. */
  undoSpend (): void
  /**
   * Asks for a token that is not there.
   *
   * @param kind - kind of the retry
   * @param onSettled - for `begun`, called once a token has arrived; for `other`, after the leader's answer or a short time, with or without a token
   * @returns the wait; undefined if no token can be asked for
   */
  request (kind: RetryKind, onSettled: () => void): RetryTokenWait | undefined
  /** @returns the state for log lines; undefined if hosts do not share the budget */
  describe (): RetryTokenState | undefined
}

/** Tokens of a host that uses its own part of the budget until the hosts share it. */
export class SwitchedRetryTokens implements RetryTokens {
  readonly #allowance: RetryAllowance

  /**
   * @param terms - the shared budget
   * @param account - tokens of the shared budget; undefined if hosts never share it
   * @param isShared - whether hosts share the budget now
   */
  constructor (terms: RetryBudgetTerms, private readonly account?: RetryTokens, private readonly isShared: () => boolean = () => false) {
    this.#allowance = new RetryAllowance(terms)
  }

  recordRequest (liveHosts: number): void {
    (this.#shared ?? this.#allowance).recordRequest(liveHosts)
  }

  isUsedUp (kind: RetryKind): boolean {
    return this.#shared?.isUsedUp(kind) ?? false
  }

  trySpend (kind: RetryKind): boolean {
    return this.#shared === undefined ? this.#allowance.trySpend() : this.#shared.trySpend(kind)
  }

  undoSpend (): void {
    this.#shared?.undoSpend()
  }

  request (kind: RetryKind, onSettled: () => void): RetryTokenWait | undefined {
    return this.#shared?.request(kind, onSettled)
  }

  describe (): RetryTokenState | undefined {
    return this.#shared?.describe()
  }

  /** The shared account starts empty and the allowance is not used again, so no token counts twice when the feature comes into use. */
  get #shared (): RetryTokens | undefined { return this.isShared() ? this.account : undefined }
}
