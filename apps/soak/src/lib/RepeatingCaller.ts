/** A caller that asks the same thing over and over, of any host, whatever it is told. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { CallerSurroundings } from './Caller.js'
import { callOnce } from './sendRequest.js'
import type { Draws } from './SeededRandom.js'
import type { AskedRequest } from './observations.js'
import type { RepeatedRequest } from './planRepeatedRequests.js'

/** Sends one request after another until stopped, each on a connection of its own. */
export class RepeatingCaller {
  #isStopped = false
  #count = 0

  /**
   * @param repeated - what to ask
   * @param draws - decides which hosts are asked
   * @param surroundings - shared with other callers
   */
  constructor (
    private readonly repeated: RepeatedRequest, private readonly draws: Draws, private readonly surroundings: Pick<CallerSurroundings, 'balancer' | 'ledger'>
  ) {}

  /** Runs until stopped; ends with its last request. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#ask()
      await sleep(this.repeated.pauseMs)
    }
  }

  /** Makes the request under way the last one. */
  stop (): void {
    this.#isStopped = true
  }

  async #ask (): Promise<void> {
    const host = this.surroundings.balancer.choose(this.draws)
    if (host === undefined) return
    this.#count += 1
    const { name, kind, customer, work } = this.repeated
    const request: AskedRequest = {
      id: `${name}-${this.#count}`, kind, customer, work, body: `body of ${name}`, host: host.label, sentAt: Date.now(), siteVersion: 0
    }
    this.surroundings.ledger.noteAsked(request)
    const agent = new Agent()
    const { end } = await callOnce(request, host.addresses['http'] ?? '', agent)
    agent.destroy()
    this.surroundings.ledger.noteOutcome({ request, end, endedAt: Date.now() })
  }
}
