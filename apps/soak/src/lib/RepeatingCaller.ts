/** A caller that keeps sending the same request to any host, regardless of the answers. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { CallerContext } from './Caller.js'
import type { Incarnation } from './ProcessSlot.js'
import { sendRequest, type Exchange } from './sendRequest.js'
import type { SeededRandom } from './SeededRandom.js'
import { isUnread, type SentRequest } from './observations.js'
import type { RepeatedRequest } from './planRepeatedRequests.js'

/** Sends one request after another until stopped, each on a new connection. */
export class RepeatingCaller {
  #isStopped = false
  #count = 0

  /**
   * @param repeated - request to send
   * @param random - chooses the hosts
   * @param context - shared with other callers
   */
  constructor (
    private readonly repeated: RepeatedRequest, private readonly random: SeededRandom, private readonly context: Pick<CallerContext, 'balancer' | 'history'>
  ) {}

  /** Sends requests until stopped; resolves after the last one has ended. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#sendNext()
      await sleep(this.repeated.pauseMs)
    }
  }

  /** Sends no further requests after the current one. */
  stop (): void {
    this.#isStopped = true
  }

  async #sendNext (): Promise<void> {
    const tried: string[] = []
    while (tried.length <= (this.repeated.retries ?? 0)) {
      const host = this.context.balancer.choose(this.random, tried)
      if (host === undefined) return
      tried.push(host.label)
      const { end } = await this.#sendTo(host, tried.length > 1)
      if (!isUnread(end)) return
    }
  }

  async #sendTo (host: Incarnation, isRetry: boolean): Promise<Exchange> {
    this.#count += 1
    const { name, kind, customer, work, readPauseMs, part } = this.repeated
    const id = `${name}-${this.#count}`
    const request: SentRequest = {
      id, kind, customer, work, body: `body of ${part === undefined ? name : id}`, host: host.label, sentAt: Date.now(), siteVersion: 0, ...(part === undefined ? {} : { part }), ...(isRetry ? { retries: `${name}-${this.#count - 1}` } : {})
    }
    this.context.history.recordRequest(request)
    const agent = new Agent()
    const exchange = await sendRequest(request, host.addresses['http'] ?? '', agent, readPauseMs)
    agent.destroy()
    this.context.history.recordOutcome({ request, end: exchange.end, endedAt: Date.now() })
    return exchange
  }
}
