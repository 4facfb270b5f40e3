/** A caller that keeps sending the same request to any host, regardless of the answers. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { CallerContext } from './Caller.js'
import { sendRequest } from './sendRequest.js'
import type { SeededRandom } from './SeededRandom.js'
import type { SentRequest } from './observations.js'
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
    const host = this.context.balancer.choose(this.random)
    if (host === undefined) return
    this.#count += 1
    const { name, kind, customer, work, readPauseMs, part } = this.repeated
    const id = `${name}-${this.#count}`
    const request: SentRequest = {
      id, kind, customer, work, body: `body of ${part === undefined ? name : id}`, host: host.label, sentAt: Date.now(), siteVersion: 0, ...(part === undefined ? {} : { part })
    }
    this.context.history.recordRequest(request)
    const agent = new Agent()
    const { end } = await sendRequest(request, host.addresses['http'] ?? '', agent, readPauseMs)
    agent.destroy()
    this.context.history.recordOutcome({ request, end, endedAt: Date.now() })
  }
}
