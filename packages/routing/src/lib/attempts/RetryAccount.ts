/** Retry tokens of one service on one host, as far as they are not in the leader's pool. */
import type { RetryBudgetTerms } from './RetryAllowance.js'
import { ACCOUNT_SHARE, BUDGET_WINDOW_MS, GRANT_VALIDITY_MS, SOLITARY_SHARE, SURPLUS_SHARE } from './retryShares.js'

/** Why tokens ceased to exist without a retry. */
export type RetryTokenLoss =
  /** The account was full. */
  | 'overflow'
  /** A deposit was not acknowledged, or granted tokens came too late or were not spent in time. */
  | 'lost'

/** A whole token is spent if no more than this is missing, because tokens are sums of rounded fractions. */
const ROUNDING_ERROR = 1e-9

interface Grant {
  readonly tokens: number
  readonly expiresAt: number
}

interface Deposit {
  readonly tokens: number
  readonly sentAt: number
}

/** Account of one service. Tokens are earned by first attempts, granted by the leader, deposited with it and spent by retries. */
export class RetryAccount {
  #balance = 0
  #liveHosts = 1
  #grants: Grant[] = []
  /** Deposits that the leader has not acknowledged, by the sequence number of their message, the oldest first. */
  readonly #deposits = new Map<number, Deposit>()
  #deposited = 0
  #undoSpend: (() => void) | undefined

  /**
   * @param terms - the shared budget
   * @param isMember - whether the leader may count this host as a member at a time in monotonic milliseconds
   * @param onLoss - called with the number of tokens that ceased to exist
   */
  constructor (
    private readonly terms: RetryBudgetTerms,
    private readonly isMember: (now: number) => boolean,
    private readonly onLoss: (loss: RetryTokenLoss, tokens: number) => void = () => {}
  ) {}

  /**
   * Earns the tokens of a first attempt.
   *
   * @param liveHosts - largest number of live entry hosts that was known within the last window
   * @param now - monotonic milliseconds
   */
  earn (liveHosts: number, now: number): void {
    this.#liveHosts = Math.max(1, liveHosts)
    this.#balance += this.terms.ratio
    this.limit(now)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns tokens that may be spent
   */
  spendable (now: number): number {
    this.#expire(now)
    return this.#balance + this.#grants.reduce((sum, { tokens }) => sum + tokens, 0)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether a token is left for a retry
   */
  canSpend (now: number): boolean {
    return this.wholeTokens(now) > 0
  }

  /**
   * @param now - monotonic milliseconds
   * @returns number of retries for which there are tokens
   */
  wholeTokens (now: number): number {
    return Math.floor(this.spendable(now) + ROUNDING_ERROR)
  }

  /**
   * Spends a token, beginning with granted tokens because they expire.
   *
   * @param now - monotonic milliseconds
   * @returns whether there was one
   */
  trySpend (now: number): boolean {
    if (!this.canSpend(now)) return false
    const balance = this.#balance
    const grants = this.#grants
    this.#grants = []
    let due = 1
    for (const { tokens, expiresAt } of grants) {
      const spent = Math.min(due, tokens)
      due -= spent
      if (tokens > spent) this.#grants.push({ tokens: tokens - spent, expiresAt })
    }
    this.#balance = Math.max(0, balance - due)
    this.#undoSpend = () => {
      this.#balance = balance
      this.#grants = grants
    }
    return true
  }

  /** Gives back the token that was spent last, because the retry was not sent. Call before anything else happens to the account. */
  undoSpend (): void {
    this.#undoSpend?.()
    this.#undoSpend = undefined
  }

  /**
   * @param now - monotonic milliseconds
   * @returns tokens beyond this host's own part, which are to be deposited
   */
  surplus (now: number): number {
    this.#expire(now)
    return Math.max(0, this.#balance - this.#part(ACCOUNT_SHARE))
  }

  /**
   * Takes a deposit out of the account. It counts against the limit of the account until it is acknowledged.
   *
   * @param sequence - sequence number of the message with the deposit
   * @param isWanting - whether retries wait; the deposit is then the whole balance, because parts of a token on many hosts are of no use to any of them
   * @param now - monotonic milliseconds
   * @returns number of tokens
   */
  takeDeposit (sequence: number, isWanting: boolean, now: number): number {
    this.limit(now)
    const tokens = isWanting ? this.#balance : this.surplus(now)
    if (tokens <= 0) return 0
    this.#balance -= tokens
    this.#deposited += tokens
    this.#deposits.set(sequence, { tokens, sentAt: now })
    return tokens
  }

  /** Tokens deposited in all, without those that count as lost. The leader takes what it has not taken yet, so a lost message is made up by the next one. */
  get deposited (): number { return this.#deposited }

  /** Whether a deposit has not been acknowledged. */
  get hasOpenDeposits (): boolean { return this.#deposits.size > 0 }

  /** @param sequence - sequence number of a message that the leader has received, with the sum of all deposits until then */
  acknowledge (sequence: number): void {
    for (const sent of this.#deposits.keys()) {
      if (sent <= sequence) this.#deposits.delete(sent)
    }
  }

  /**
   * Adds tokens that the leader has granted.
   *
   * @param tokens - number of tokens
   * @param askedAt - when they were asked for, in monotonic milliseconds
   * @param now - monotonic milliseconds
   */
  addGrant (tokens: number, askedAt: number, now: number): void {
    if (tokens <= 0) return
    this.#grants.push({ tokens, expiresAt: askedAt + GRANT_VALIDITY_MS })
    this.#expire(now)
  }

  /**
   * Drops the tokens beyond what this host may hold.
   *
   * @param now - monotonic milliseconds
   */
  limit (now: number): void {
    this.#expire(now)
    const share = this.isMember(now) ? ACCOUNT_SHARE + SURPLUS_SHARE : SOLITARY_SHARE
    let unacknowledged = 0
    for (const { tokens } of this.#deposits.values()) unacknowledged += tokens
    this.#cap(Math.max(0, this.#part(share) - unacknowledged), 'overflow')
  }

  #part (share: number): number {
    return this.terms.slack * share / this.#liveHosts
  }

  #cap (limit: number, loss: RetryTokenLoss): void {
    if (this.#balance <= limit) return
    this.onLoss(loss, this.#balance - limit)
    this.#balance = limit
  }

  #expire (now: number): void {
    if (this.#grants.length > 0) this.#expireGrants(now)
    for (const [sequence, { tokens, sentAt }] of this.#deposits) {
      if (now - sentAt <= BUDGET_WINDOW_MS) return
      this.#deposits.delete(sequence)
      this.#deposited -= tokens
      this.onLoss('lost', tokens)
    }
  }

  #expireGrants (now: number): void {
    const expired = this.#grants.filter(({ expiresAt }) => now > expiresAt).reduce((sum, { tokens }) => sum + tokens, 0)
    this.#grants = this.#grants.filter(({ expiresAt }) => now <= expiresAt)
    if (expired > 0) this.onLoss('lost', expired)
  }
}
