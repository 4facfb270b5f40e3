/**
 * Tells the other entry hosts of each dispatch at once, and hears of theirs.
 *
 * Engines report their load with a lag. Without notices several hosts choose the
 * same idle engine within that lag, and all but the first prompt wait for a
 * whole prefill.
 */
import type { EngineLoadTable } from '@eelgrassmux/policy/health/EngineLoadTable'
import { noticeDispatches } from '@eelgrassmux/rpc/methods/entryMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { RpcServer } from '@eelgrassmux/rpc/RpcServer'
import type { Clock } from '@eelgrassmux/schema/Clock'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'

interface PendingDispatch {
  readonly engine: string
  readonly tokens: number
  readonly at: number
}

/** Dispatches of this time go out in one message, in milliseconds. */
const BATCH_WINDOW_MS = 3

/** A notice that takes longer is worth nothing, in milliseconds. */
const NOTICE_DEADLINE_MS = 200

/** Shares dispatches among entry hosts. */
export class DispatchNotices {
  #pending: PendingDispatch[] = []

  /**
   * @param clock - time
   * @param rpc - client for the calls
   * @param loads - corrected by what is heard
   * @param peers - addresses of the other entry hosts
   * @param outcomes - counts notices by outcome
   */
  constructor (
    private readonly clock: Clock,
    private readonly rpc: RpcClient,
    private readonly loads: EngineLoadTable,
    private readonly peers: () => readonly string[],
    private readonly outcomes: LabelledCounter
  ) {}

  /** @param server - where to hear of the others' dispatches */
  register (server: RpcServer): void {
    server.handle(noticeDispatches, async ({ dispatches }) => {
      const now = this.clock.now()
      for (const { engine, tokens, ageMs } of dispatches) this.loads.recordDispatch(engine, tokens, now - ageMs)
      this.outcomes.count('heard', dispatches.length)
      return {}
    })
  }

  /**
   * @param engine - endpoint that a prompt is being sent to
   * @param tokens - prefill tokens it has to compute
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
      const answer = await this.rpc.call(peer, noticeDispatches, { dispatches }, NOTICE_DEADLINE_MS)
      this.outcomes.count(answer.ok ? 'sent' : answer.error.kind)
    }))
  }
}
