/**
 * Exchanges retry tokens with the leader of the control hosts: deposits the tokens that this host does not need, and
 * asks for tokens when retries wait. One question is open at a time, so a burst of retries costs few datagrams.
 */
import type { RetryBudgetTerms } from '@eelgrassmux/routing/attempts/RetryAllowance'
import { RetryLedger } from '@eelgrassmux/routing/attempts/RetryLedger'
import type { RetryAnswer } from '@eelgrassmux/routing/attempts/retryMessages'
import type { RetryWants } from '@eelgrassmux/routing/attempts/RetryPool'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { exchangeRetries } from '@eelgrassmux/rpc/methods/retryMethods'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { RetryKind, RetryTokens, RetryTokenWait } from './RetryTokens.js'

/** Time after which an unanswered question counts as lost, and longest wait of a retry whose stream has not begun, in milliseconds. */
const ANSWER_TIMEOUT_MS = 20

/** Interval between questions for streams that got no token, in milliseconds. */
const REPEAT_INTERVAL_MS = 100

/** Sequence numbers per millisecond of the wall clock; a host sends fewer messages, so those of a restarted process are higher. */
const SEQUENCES_PER_MS = 1000

/** Dependencies of the exchange. */
export interface RetryExchangePorts {
  readonly datagrams: Pick<DatagramClient, 'ask'>
  /** Returns the address of the leading control host, if known. */
  leader (): string | undefined
}

interface Waiter {
  readonly service: string
  readonly kind: RetryKind
  readonly since: number
  readonly onSettled: () => void
  /** Whether a question since the wait began includes it. */
  isAsked: boolean
}

/** Tokens of all services of this host. */
export class RetryExchange {
  readonly #ledger: RetryLedger
  readonly #services = new Set<string>()
  readonly #waiters = new Set<Waiter>()
  #timer: NodeJS.Timeout | undefined
  #timerAt = Number.POSITIVE_INFINITY
  /** Number of questions since the last answer. */
  #unanswered = 0
  #lastAskedAt = Number.NEGATIVE_INFINITY
  #depositAt: number | undefined
  #isStopped = false

  /**
   * @param host - unique name of this host
   * @param ports - dependencies
   * @param terms - the shared budget
   * @param telemetry - metrics
   */
  constructor (host: string, private readonly ports: RetryExchangePorts, terms: RetryBudgetTerms, telemetry: Telemetry) {
    const moves = telemetry.labelledCounter('retry_tokens_total', 'Retry tokens of this host by what happened to them', 'outcome')
    this.#ledger = new RetryLedger(host, terms, Date.now() * SEQUENCES_PER_MS, (move, tokens) => { moves.count(move, tokens) })
    telemetry.gauge('retry_account_tokens', 'Retry tokens in the accounts of this host', () => this.#sum(service => this.#ledger.account(service).spendable(performance.now())))
    telemetry.gauge('retries_waiting', 'Retries that wait for a token', () => this.#waiters.size)
  }

  /**
   * @param service - name of a service
   * @returns the tokens of the service
   */
  tokensOf (service: string): RetryTokens {
    const account = this.#ledger.account(service)
    this.#services.add(service)
    return {
      recordRequest: liveHosts => { this.#earn(service, liveHosts) },
      isUsedUp: kind => !this.#mayDraw(service, kind) || !account.canSpend(performance.now()),
      trySpend: kind => this.#mayDraw(service, kind) && account.trySpend(performance.now()),
      undoSpend: () => { account.undoSpend() },
      request: (kind, onSettled) => this.#request(service, kind, onSettled),
      describe: () => ({ account: account.spendable(performance.now()), pool: this.#ledger.fillOf(service) ?? -1 })
    }
  }

  /** Must be called when another control host leads: it has no tokens yet, so deposits are due earlier. */
  leaderChanged (): void {
    this.#ledger.forgetFills()
    this.#depositAt = undefined
  }

  /** Stops the exchange. Waiting retries are not called back. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#timer)
    this.#waiters.clear()
  }

  #sum (count: (service: string) => number): number {
    return [...this.#services].reduce((sum, service) => sum + count(service), 0)
  }

  /** Streams that have begun draw first, so other retries get nothing while one waits. */
  #mayDraw (service: string, kind: RetryKind): boolean {
    return kind === 'begun' || this.#waiters.size === 0 || this.#waiting(service, 'begun').length === 0
  }

  #waiting (service: string, kind: RetryKind): Waiter[] {
    return [...this.#waiters].filter(waiter => waiter.service === service && waiter.kind === kind)
  }

  #earn (service: string, liveHosts: number): void {
    const depositAt = this.#ledger.earn(service, liveHosts, performance.now())
    if (this.#waiters.size > 0) this.#serve(service)
    if (depositAt === undefined || this.#depositAt !== undefined) return
    this.#depositAt = depositAt
    this.#schedule()
  }

  #request (service: string, kind: RetryKind, onSettled: () => void): RetryTokenWait | undefined {
    if (this.#isStopped || (kind === 'other' && this.ports.leader() === undefined)) return undefined
    const waiter: Waiter = { service, kind, onSettled, since: performance.now(), isAsked: false }
    this.#waiters.add(waiter)
    if (this.#unanswered === 0) this.#ask()
    this.#schedule()
    return { cancel: () => { this.#waiters.delete(waiter) } }
  }

  /** Calls back as many streams as there are tokens, in the order of their requests. */
  #serve (service: string): void {
    const tokens = this.#ledger.account(service).wholeTokens(performance.now())
    if (tokens === 0) return
    for (const waiter of this.#waiting(service, 'begun').slice(0, tokens)) this.#settle(waiter)
  }

  #settle (waiter: Waiter): void {
    if (this.#waiters.delete(waiter)) waiter.onSettled()
  }

  #ask (): void {
    const leader = this.ports.leader()
    const now = performance.now()
    this.#depositAt = undefined
    this.#lastAskedAt = now
    if (leader === undefined) return
    const question = this.#ledger.ask(this.#wants(now), now)
    for (const waiter of this.#waiters) waiter.isAsked = true
    this.#unanswered += 1
    this.ports.datagrams.ask(leader, exchangeRetries, question, answer => { this.#onAnswer(answer, question.isMember) })
  }

  /** Returns the tokens that are missing for the retries that wait. */
  #wants (now: number): Map<string, RetryWants> {
    const wants = new Map<string, RetryWants>()
    if (this.#waiters.size === 0) return wants
    for (const service of this.#services) {
      const begun = this.#waiting(service, 'begun').length
      const other = this.#waiting(service, 'other').length
      const present = this.#ledger.account(service).wholeTokens(now)
      if (begun + other > 0) wants.set(service, { begun: Math.max(0, begun - present), other: Math.max(0, other - Math.max(0, present - begun)) })
    }
    return wants
  }

  #onAnswer (answer: RetryAnswer, wasMember: boolean): void {
    if (this.#isStopped) return
    this.#ledger.observeAnswer(answer, performance.now())
    this.#unanswered = 0
    const answered = [...this.#waiters].filter(({ isAsked, kind }) => isAsked && kind === 'other')
    for (const service of this.#services) this.#serve(service)
    for (const waiter of answered) this.#settle(waiter)
    const hasNewWaiters = [...this.#waiters].some(({ isAsked }) => !isAsked)
    if (hasNewWaiters || (!wasMember && this.#waiters.size > 0)) this.#ask()
    this.#schedule()
  }

  // --- Timer: one for all services and requests ---

  /** Returns the time of the next step, in monotonic milliseconds. */
  get #nextStepAt (): number {
    let at = this.#depositAt ?? Number.POSITIVE_INFINITY
    for (const { kind, since } of this.#waiters) at = Math.min(at, kind === 'other' ? since + ANSWER_TIMEOUT_MS : this.#repeatAt)
    return at
  }

  get #repeatAt (): number {
    // The first lost datagram is replaced soon; if more are lost, the leader is probably away.
    return this.#lastAskedAt + (this.#unanswered === 1 ? ANSWER_TIMEOUT_MS : REPEAT_INTERVAL_MS)
  }

  /** Keeps one timer, which is moved only if it would fire too late; a timer that fires too early reschedules itself. */
  #schedule (): void {
    const at = this.#nextStepAt
    if (this.#isStopped || at >= this.#timerAt) return
    clearTimeout(this.#timer)
    this.#timerAt = at
    this.#timer = setTimeout(() => {
      this.#timerAt = Number.POSITIVE_INFINITY
      this.#step()
      this.#schedule()
    }, Math.max(0, at - performance.now()))
  }

  #step (): void {
    const now = performance.now()
    for (const waiter of [...this.#waiters]) {
      if (waiter.kind === 'other' && now - waiter.since >= ANSWER_TIMEOUT_MS) this.#settle(waiter)
    }
    for (const service of this.#services) this.#serve(service)
    const isRepeatDue = this.#waiters.size > 0 && now >= this.#repeatAt
    const isDepositDue = now >= (this.#depositAt ?? Number.POSITIVE_INFINITY)
    if (isDepositDue) this.#depositAt = undefined
    if (isRepeatDue || (isDepositDue && this.#ledger.hasDeposits(now))) this.#ask()
  }
}
