/**
 * Notifies the other entry hosts of each dispatch, and records theirs.
 *
 * Engines report their load with a lag. Without notices several hosts choose the
 * same idle engine within that lag, and every prompt but the first waits for a
 * complete prefill.
 */
import type { EngineLoadTable } from '@eelgrassmux/policy/health/EngineLoadTable'
import { notifyDispatches } from '@eelgrassmux/rpc/methods/entryMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'

interface PendingDispatch {
  readonly engine: string
  readonly tokens: number
  readonly at: number
}

/** Dispatches within this window are sent in one message, in milliseconds. */
const BATCH_WINDOW_MS = 3

/** Deadline of a notice, in milliseconds; a later one is useless. */
const NOTICE_DEADLINE_MS = 200

/** Exchanges dispatch notices with the other entry hosts. */
export class DispatchNotices {
  #pending: PendingDispatch[] = []

  /**
   * @param clock - time source
   * @param rpc - client for the calls
   * @param loads - load table that received dispatches are added to
   * @param peers - returns the addresses of the other entry hosts
   * @param outcomes - counts notices by outcome
   */
  constructor (
    private readonly clock: Clock,
    private readonly rpc: RpcClient,
    private readonly loads: EngineLoadTable,
    private readonly peers: () => readonly string[],
    private readonly outcomes: LabelledCounter
  ) {}

  /** @param server - server that receives the notices of other hosts */
  register (server: RpcServer): void {
    server.handle(notifyDispatches, async ({ dispatches }) => {
      const now = this.clock.now()
      for (const { engine, tokens, ageMs } of dispatches) this.loads.recordDispatch(engine, tokens, now - ageMs)
      this.outcomes.count('heard', dispatches.length)
      return {}
    })
  }

  /**
   * @param engine - engine that a prompt is being sent to
   * @param tokens - prefill tokens that the engine has to compute
   */
  announce (engine: string, tokens: number): void {
    this.#pending.push({ engine, tokens, at: this.clock.now() })
    if (this.#pending.length > 1) return
    void this.#sendBatch()
  }

  async #sendBatch (): Promise<void> {
    await this.clock.sleep(BATCH_WINDOW_MS)
    const now = this.clock.now()
    const dispatches = this.#pending.map(({ engine, tokens, at }) => ({ engine, tokens, ageMs: now - at }))
    this.#pending = []
    await Promise.all(this.peers().map(async peer => {
      const answer = await this.rpc.call(peer, notifyDispatches, { dispatches }, NOTICE_DEADLINE_MS)
      this.outcomes.count(answer.ok ? 'sent' : answer.error.kind)
    }))
  }
}
