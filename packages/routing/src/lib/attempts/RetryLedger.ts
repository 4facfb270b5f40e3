/** Accounts of one host, and the messages by which the host exchanges tokens with the leader. */
import type { RetryBudgetTerms } from './RetryAllowance.js'
import { RetryAccount, type RetryTokenLoss } from './RetryAccount.js'
import { MAX_SERVICES_PER_MESSAGE, type RetryAnswer, type RetryQuestion } from './retryMessages.js'
import type { RetryWants } from './RetryPool.js'
import { BUDGET_WINDOW_MS, GRANT_VALIDITY_MS, UNANSWERED_LIMIT_MS } from './retryShares.js'

/** Shortest interval between messages that only deposit tokens, in milliseconds. */
const DEPOSIT_INTERVAL_MS = 250

/** The same while the pool is full or the leader does not answer; tokens of these messages are mostly lost. */
const SLOW_DEPOSIT_INTERVAL_MS = 2000

/** Filled part from which a pool counts as full. */
const FULL_POOL = 0.98

/** Smallest deposit worth a message, in tokens. */
const MIN_DEPOSIT = 0.01

const NOTHING_WANTED: RetryWants = { begun: 0, other: 0 }

/** What happened to tokens, for metrics. */
export type RetryTokenMove = RetryTokenLoss | 'granted' | 'deposited'

/** Accounts by service, and the state of the exchange with the leader. */
export class RetryLedger {
  readonly #accounts = new Map<string, RetryAccount>()
  readonly #fills = new Map<string, number>()
  /** When the questions without an answer were asked, by sequence number, the oldest first. */
  readonly #questions = new Map<number, number>()
  #sequence: number
  #liveHosts = 1
  #lastAskedAt = Number.NEGATIVE_INFINITY
  #lastAskedAsMemberAt = Number.NEGATIVE_INFINITY
  /** Time of the first question since the last answer. */
  #unansweredSince: number | undefined

  /**
   * @param host - unique name of this host
   * @param terms - the shared budget
   * @param firstSequence - higher than every sequence number of an earlier process of this host
   * @param onMove - called with the number of tokens that were moved or lost
   */
  constructor (
    private readonly host: string,
    private readonly terms: RetryBudgetTerms,
    private readonly firstSequence: number,
    private readonly onMove: (move: RetryTokenMove, tokens: number) => void = () => {}
  ) {
    this.#sequence = firstSequence
  }

  /** @param service - name of a service */
  account (service: string): RetryAccount {
    const present = this.#accounts.get(service)
    if (present !== undefined) return present
    const account = new RetryAccount(this.terms, now => now - this.#lastAskedAsMemberAt <= BUDGET_WINDOW_MS, this.onMove)
    this.#accounts.set(service, account)
    return account
  }

  /**
   * @param service - name of a service
   * @returns filled part of its pool at the last answer; undefined if there was none
   */
  fillOf (service: string): number | undefined {
    return this.#fills.get(service)
  }

  /** Forgets how full the pools are, because another leader starts with empty ones. */
  forgetFills (): void {
    this.#fills.clear()
  }

  /**
   * Counts a first attempt.
   *
   * @param service - service of the request
   * @param liveHosts - largest number of live entry hosts that was known within the last window
   * @param now - monotonic milliseconds
   * @returns when the next deposit is due, in monotonic milliseconds; undefined if there is nothing to deposit
   */
  earn (service: string, liveHosts: number, now: number): number | undefined {
    const account = this.account(service)
    this.#liveHosts = Math.max(1, liveHosts)
    account.earn(liveHosts, now)
    if (!hasDeposit(account, now)) return undefined
    const isSlow = !this.#isAnswered(now) || (this.#fills.get(service) ?? 0) >= FULL_POOL
    return this.#lastAskedAt + (isSlow ? SLOW_DEPOSIT_INTERVAL_MS : DEPOSIT_INTERVAL_MS)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether an account has tokens to deposit
   */
  hasDeposits (now: number): boolean {
    for (const account of this.#accounts.values()) if (hasDeposit(account, now)) return true
    return false
  }

  /**
   * Makes up the next message, with all tokens to deposit.
   *
   * @param wants - tokens that are missing for retries, by service
   * @param now - monotonic milliseconds
   */
  ask (wants: ReadonlyMap<string, RetryWants>, now: number): RetryQuestion {
    this.#discardQuestions(now)
    // A host whose answers are lost must not stay a member, because it would never hold a whole token.
    const isMember = this.#isAnswered(now)
    this.#sequence += 1
    this.#lastAskedAt = now
    if (isMember) this.#lastAskedAsMemberAt = now
    this.#unansweredSince ??= now
    this.#questions.set(this.#sequence, now)
    return { host: this.host, sequence: this.#sequence, firstSequence: this.firstSequence, liveHosts: this.#liveHosts, isMember, services: isMember ? this.#entries(wants, now) : [] }
  }

  /**
   * Adds the granted tokens to the accounts. An answer counts once.
   *
   * @param answer - answer of the leader
   * @param now - monotonic milliseconds
   */
  observeAnswer ({ sequence, services }: RetryAnswer, now: number): void {
    const askedAt = this.#questions.get(sequence)
    if (askedAt === undefined) return
    this.#questions.delete(sequence)
    const isRecent = now - askedAt <= GRANT_VALIDITY_MS
    if (isRecent) this.#unansweredSince = undefined
    for (const { service, granted, fill } of services) {
      this.account(service).acknowledge(sequence)
      this.#fills.set(service, fill)
      this.onMove(isRecent ? 'granted' : 'lost', granted)
      if (isRecent) this.account(service).addGrant(granted, askedAt, now)
    }
  }

  /** Forgets questions whose answers can't arrive any more. */
  #discardQuestions (now: number): void {
    for (const [sequence, askedAt] of this.#questions) {
      if (now - askedAt <= BUDGET_WINDOW_MS) return
      this.#questions.delete(sequence)
    }
  }

  #isAnswered (now: number): boolean {
    return this.#unansweredSince === undefined || now - this.#unansweredSince <= UNANSWERED_LIMIT_MS
  }

  #entries (wants: ReadonlyMap<string, RetryWants>, now: number): RetryQuestion['services'] {
    const entries: RetryQuestion['services'] = []
    for (const [service, account] of this.#accounts) {
      // The message may make this host a member, which holds less.
      account.limit(now)
      const wanted = wants.get(service) ?? NOTHING_WANTED
      const isWanting = wanted.begun > 0 || wanted.other > 0
      if (entries.length >= MAX_SERVICES_PER_MESSAGE) continue
      if (!isWanting && !hasDeposit(account, now)) continue
      const deposited = account.takeDeposit(this.#sequence, isWanting, now)
      this.onMove('deposited', deposited)
      entries.push({ service, deposited, depositedInAll: Math.max(0, account.deposited), ...wanted })
    }
    return entries
  }
}

function hasDeposit (account: RetryAccount, now: number): boolean {
  return account.hasOpenDeposits || account.surplus(now) >= MIN_DEPOSIT
}
