/** Callers that send requests for some time beside the callers of the whole run. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { CallerContext } from './Caller.js'
import { runCallersWithDeadline } from './CallersWithDeadline.js'
import type { AnswersInTimeCheck } from './checks/AnswersInTimeCheck.js'
import { HeldConnections, type Held } from './HeldConnections.js'
import type { ProcessSlot } from './ProcessSlot.js'
import { CallerWithBytesBehind, type BytesBehind } from './CallerWithBytesBehind.js'
import type { RepeatedRequest } from './planRepeatedRequests.js'
import { RepeatingCaller } from './RepeatingCaller.js'
import { SeededRandom } from './SeededRandom.js'

/** Starts and stops them. */
export class ExtraCallers {
  #count = 0

  /**
   * @param seed - determines the hosts that they choose
   * @param context - shared with other callers
   */
  constructor (private readonly seed: number, private readonly context: Pick<CallerContext, 'balancer' | 'history'>) {}

  /** @returns a prefix for the names of requests that no other group of callers has */
  nextName (kind: string): string {
    this.#count += 1
    return `${kind}${this.#count}`
  }

  /**
   * @param requests - what to send, one caller for each
   * @param durationMs - time after which no further request is sent, in milliseconds
   * @returns a promise that resolves when the last request has ended
   */
  async run (requests: readonly RepeatedRequest[], durationMs: number): Promise<void> {
    await this.#runFor(requests.map((repeated, index) => new RepeatingCaller(repeated, this.#randomOf(requests.length, index), this.context)), durationMs)
  }

  /**
   * @param count - number of callers
   * @param bytes - what they send behind their calls
   * @param durationMs - time after which no further call is sent, in milliseconds
   * @returns a promise that resolves when the last call has ended
   */
  async runWithBytesBehind (count: number, bytes: BytesBehind, durationMs: number): Promise<void> {
    const name = this.nextName('behind')
    await this.#runFor(Array.from({ length: count }, (_, index) => new CallerWithBytesBehind(`${name}-${index}`, bytes, this.#randomOf(count, index), this.context)), durationMs)
  }

  /**
   * @param host - entry host that they all call
   * @param count - number of callers
   * @param check - told of the end of each call
   * @param durationMs - time after which no further call is sent, in milliseconds
   */
  async runWithDeadline (host: ProcessSlot, count: number, check: AnswersInTimeCheck, durationMs: number): Promise<void> {
    await runCallersWithDeadline({ name: this.nextName('many'), count, durationMs }, host, this.context.history, check)
  }

  /**
   * @param host - entry host to which the connections are open
   * @param count - number of connections
   * @param held - what comes over them
   * @param durationMs - how long they are held, in milliseconds
   */
  async holdConnections (host: ProcessSlot, count: number, held: Held, durationMs: number): Promise<void> {
    await new HeldConnections(this.nextName('held'), held, () => host.current, this.context.history).hold(count, durationMs)
  }

  #randomOf (count: number, index: number): SeededRandom {
    return SeededRandom.ofNeighbour(this.seed + this.#count * count + index)
  }

  async #runFor (callers: ReadonlyArray<RepeatingCaller | CallerWithBytesBehind>, durationMs: number): Promise<void> {
    const running = Promise.all(callers.map(async caller => { await caller.run() }))
    await sleep(durationMs)
    for (const caller of callers) caller.stop()
    await running
  }
}
