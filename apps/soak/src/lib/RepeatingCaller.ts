/** A caller that asks the same thing over and over, of any host, whatever it is told. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { CallerContext } from './Caller.js'
import { sendRequest } from './sendRequest.js'
import type { SeededRandom } from './SeededRandom.js'
import type { SentRequest } from './observations.js'
import type { RepeatedRequest } from './planRepeatedRequests.js'

/** Sends one request after another until stopped, each on a connection of its own. */
export class RepeatingCaller {
  #isStopped = false
  #count = 0

  /**
   * @param repeated - what to ask
   * @param draws - decides which hosts are asked
   * @param context - shared with other callers
   */
  constructor (
    private readonly repeated: RepeatedRequest, private readonly random: SeededRandom, private readonly context: Pick<CallerContext, 'balancer' | 'history'>
  ) {}

  /** Runs until stopped; ends with its last request. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#sendNext()
      await sleep(this.repeated.pauseMs)
    }
  }

  /** Makes the request under way the last one. */
  stop (): void {
    this.#isStopped = true
  }

  async #sendNext (): Promise<void> {
    const host = this.context.balancer.choose(this.random)
    if (host === undefined) return
    this.#count += 1
    const { name, kind, customer, work } = this.repeated
    const request: SentRequest = {
      id: `${name}-${this.#count}`, kind, customer, work, body: `body of ${name}`, host: host.label, sentAt: Date.now(), siteVersion: 0
    }
    this.context.history.recordRequest(request)
    const agent = new Agent()
    const { end } = await sendRequest(request, host.addresses['http'] ?? '', agent)
    agent.destroy()
    this.context.history.recordOutcome({ request, end, endedAt: Date.now() })
  }
}
