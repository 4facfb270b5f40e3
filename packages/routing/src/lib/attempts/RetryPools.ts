/** Pools of all services at the leader of the control hosts. */
import type { RetryBudgetTerms } from './RetryAllowance.js'
import type { RetryAnswer, RetryQuestion } from './retryMessages.js'
import { RetryPool } from './RetryPool.js'
import { BUDGET_WINDOW_MS, MEMBERSHIP_MS, POOL_SHARE } from './retryShares.js'

/** Time for which the last sequence number of a host is kept, in milliseconds; no message arrives so late. */
const SEQUENCE_RETENTION_MS = 3 * BUDGET_WINDOW_MS

/** Interval between counts of the members, in milliseconds; a count looks at each host. */
const MEMBER_COUNT_INTERVAL_MS = 100

/** Most services with a pool; any sender can reach the port. */
const MAX_POOLS = 256

/** What happened to tokens, for metrics. */
export type RetryPoolMove = 'granted' | 'deposited' | 'refused' | 'lost'

interface ReportingHost {
  sequence: number
  firstSequence: number
  heardAt: number
  /** Largest sum of the host's deposits that was taken in this term, by service. */
  readonly deposited: Map<string, number>
  /** Time of the last message from the host as a member, in monotonic milliseconds. */
  memberAt: number
  liveHosts: number
}

/** Takes deposits from hosts and grants tokens, while this control host leads. */
export class RetryPools {
  readonly #hosts = new Map<string, ReportingHost>()
  readonly #pools = new Map<string, RetryPool>()
  #term: number | undefined
  #membersCountedAt = Number.NEGATIVE_INFINITY
  #capacity = 0

  /**
   * @param terms - the shared budget
   * @param onMove - called with the number of tokens that were moved, refused or lost
   */
  constructor (private readonly terms: RetryBudgetTerms, private readonly onMove: (move: RetryPoolMove, tokens: number) => void = () => {}) {}

  /** Tokens in all pools. */
  get tokens (): number {
    let sum = 0
    for (const pool of this.#pools.values()) sum += pool.tokens
    return sum
  }

  /** Forgets the pools. Call when this control host is no longer the leader. */
  forget (): void {
    this.onMove('lost', this.tokens)
    this.#pools.clear()
    this.#term = undefined
    for (const host of this.#hosts.values()) {
      host.memberAt = Number.NEGATIVE_INFINITY
      // Another leader may have taken the deposits in the meantime.
      host.deposited.clear()
    }
    this.#membersCountedAt = Number.NEGATIVE_INFINITY
  }

  /**
   * Answers a message. Call only while this control host holds its lease.
   *
   * @param question - message of a host
   * @param term - term of the leader; tokens of an earlier term are lost, because another host may have led in between
   * @param now - monotonic milliseconds
   * @returns the answer; undefined for a message that is late or a repetition
   */
  answer (question: RetryQuestion, term: number, now: number): RetryAnswer | undefined {
    if (this.#term !== term) this.forget()
    this.#term = term
    const host = this.#observeHost(question, now)
    if (host === undefined) return undefined
    this.#countMembers(now)
    const { sequence, isMember, services } = question
    return { sequence, services: isMember ? services.flatMap(entry => this.#exchange(host, entry, now)) : [] }
  }

  /** @returns the host; undefined if the message is not newer than all others of the host */
  #observeHost ({ host: name, sequence, firstSequence, liveHosts, isMember }: RetryQuestion, now: number): ReportingHost | undefined {
    const known = this.#hosts.get(name)
    if (known !== undefined && sequence <= known.sequence) return undefined
    const deposited = known?.firstSequence === firstSequence ? known.deposited : new Map<string, number>()
    const host = { sequence, firstSequence, heardAt: now, liveHosts, memberAt: isMember ? now : Number.NEGATIVE_INFINITY, deposited }
    this.#hosts.set(name, host)
    return host
  }

  #exchange (host: ReportingHost, { service, deposited, depositedInAll, begun, other }: RetryQuestion['services'][number], now: number): RetryAnswer['services'] {
    const pool = this.#pool(service)
    if (pool === undefined) return []
    // Of a process that is new to this leader, earlier deposits may have been taken by another leader.
    const takenBefore = host.deposited.get(service) ?? depositedInAll - deposited
    host.deposited.set(service, Math.max(takenBefore, depositedInAll))
    const taken = pool.deposit(Math.max(0, depositedInAll - takenBefore), now)
    const granted = pool.grant({ begun, other }, now)
    this.onMove('deposited', taken)
    this.onMove('granted', granted)
    this.onMove('refused', begun + other - granted)
    return [{ service, granted, fill: this.#fillOf(pool) }]
  }

  /** Returns the fill as a part of the capacity with all hosts: hosts that join a small pool must not take it for full and deposit slowly. */
  #fillOf ({ tokens }: RetryPool): number {
    return tokens > 0 ? Math.min(1, tokens / (this.terms.slack * POOL_SHARE)) : 0
  }

  #pool (service: string): RetryPool | undefined {
    const present = this.#pools.get(service)
    if (present !== undefined || this.#pools.size >= MAX_POOLS) return present
    const pool = new RetryPool()
    pool.resize(this.#capacity)
    this.#pools.set(service, pool)
    return pool
  }

  /** Adapts the capacity of the pools to the part of the hosts that are members: the others hold a larger share of the slack themselves. */
  #countMembers (now: number): void {
    if (now - this.#membersCountedAt < MEMBER_COUNT_INTERVAL_MS) return
    this.#membersCountedAt = now
    let members = 0
    let liveHosts = 1
    for (const [name, host] of this.#hosts) {
      if (now - host.heardAt > SEQUENCE_RETENTION_MS) this.#hosts.delete(name)
      if (now - host.memberAt <= MEMBERSHIP_MS) members += 1
      if (now - host.heardAt <= BUDGET_WINDOW_MS) liveHosts = Math.max(liveHosts, host.liveHosts)
    }
    this.#capacity = this.terms.slack * POOL_SHARE * members / Math.max(members, liveHosts)
    for (const pool of this.#pools.values()) this.onMove('lost', pool.resize(this.#capacity))
  }
}
