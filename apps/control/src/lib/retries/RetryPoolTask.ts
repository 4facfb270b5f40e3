/** Answers the entry hosts' messages about retry tokens while this control host leads. */
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import type { RetryBudgetTerms } from '@eelgrassmux/routing/attempts/RetryAllowance'
import { RetryPools } from '@eelgrassmux/routing/attempts/RetryPools'
import type { DatagramServer } from '@eelgrassmux/rpc/datagrams/DatagramServer'
import { exchangeRetries } from '@eelgrassmux/rpc/methods/retryMethods'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Runs the pools of retry tokens. They live in the leader's memory only, and a new leader starts with empty pools. */
export class RetryPoolTask {
  readonly #pools: RetryPools

  /**
   * @param core - replica of this host
   * @param terms - the shared budget
   * @param telemetry - metrics
   */
  constructor (private readonly core: Pick<RaftCore, 'holdsLease' | 'term'>, terms: RetryBudgetTerms, telemetry: Telemetry) {
    const moves = telemetry.labelledCounter('retry_pool_tokens_total', 'Retry tokens of all hosts by what happened to them', 'outcome')
    this.#pools = new RetryPools(terms, (move, tokens) => { moves.count(move, tokens) })
    telemetry.gauge('retry_pool_tokens', 'Retry tokens in the pools of this control host', () => core.holdsLease(performance.now()) ? this.#pools.tokens : 0)
  }

  /** @param datagrams - datagram server on which to register the method */
  register (datagrams: DatagramServer): void {
    datagrams.handle(exchangeRetries, question => {
      const now = performance.now()
      if (this.core.holdsLease(now)) return this.#pools.answer(question, this.core.term, now)
      this.#pools.forget()
      return undefined
    })
  }
}
