/** A caller with a connection of its own to one host, which waits for each answer until some time after its deadline. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { CalledHost } from './CallersWithDeadline.js'
import type { Outcome, SentRequest } from './observations.js'
import { sendRequest } from './sendRequest.js'
import { CUSTOMERS } from './soakSite.js'

/** Deadline of each request, in milliseconds. */
export const CALLER_DEADLINE_MS = 3000

/** Time after which a caller gives up, in milliseconds; well beyond what the check allows. */
const GIVE_UP_MS = CALLER_DEADLINE_MS + 2500

/** Work of a request, and the pause after a rejection, in milliseconds. */
const WORK_MS = 20
const REJECTED_PAUSE_MS = 50

const OK = 200

/** Told of the requests of a caller. */
export interface CallerListener {
  onSent (request: SentRequest): void
  /** Called for each request that has ended, or on which the caller has given up. */
  onEnd (outcome: Outcome, isGivenUp: boolean): void
}

/** Sends one request after another until stopped. */
export class CallerWithDeadline {
  #isStopped = false
  #count = 0

  /**
   * @param name - unique among callers
   * @param currentHost - returns the running process of the host
   * @param listener - told of each request
   */
  constructor (private readonly name: string, private readonly currentHost: () => CalledHost, private readonly listener: CallerListener) {}

  /** Sends requests until stopped; resolves after the last one has ended. */
  async run (): Promise<void> {
    let agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this.#isStopped) {
      const host = this.currentHost()
      if (host === undefined || await this.#send(host, agent) !== OK) await sleep(REJECTED_PAUSE_MS)
      if (host === undefined || host.label === this.currentHost()?.label) continue
      agent.destroy()
      agent = new Agent({ keepAlive: true, maxSockets: 1 })
    }
    agent.destroy()
  }

  /** Sends no further requests after the current one. */
  stop (): void {
    this.#isStopped = true
  }

  /** Returns the status of the answer; 0 without one. */
  async #send (host: NonNullable<CalledHost>, agent: Agent): Promise<number> {
    this.#count += 1
    const id = `${this.name}-${this.#count}`
    const request: SentRequest = {
      id, kind: 'safe', customer: CUSTOMERS[this.#count % CUSTOMERS.length]?.name ?? '', work: { kind: 'plain', milliseconds: WORK_MS }, body: `body of ${id}`, host: host.label, sentAt: Date.now(), siteVersion: 0, deadlineMs: CALLER_DEADLINE_MS
    }
    this.listener.onSent(request)
    let isGivenUp = false
    const timer = setTimeout(() => {
      isGivenUp = true
      agent.destroy()
    }, GIVE_UP_MS)
    const { end } = await sendRequest(request, host.addresses['http'] ?? '', agent)
    clearTimeout(timer)
    this.listener.onEnd({ request, end, endedAt: Date.now() }, isGivenUp)
    return end.kind === 'answered' ? end.status : 0
  }
}
