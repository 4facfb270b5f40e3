/** A caller with a connection of its own to one host, which waits for each answer until some time after its deadline. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { AnswersInTimeCheck } from './checks/AnswersInTimeCheck.js'
import type { SentRequest } from './observations.js'
import type { Incarnation } from './ProcessSlot.js'
import type { RequestHistory } from './RequestHistory.js'
import { sendRequest } from './sendRequest.js'
import { CUSTOMERS } from './soakSite.js'

/** Deadline of each request, in milliseconds. */
export const CALLER_DEADLINE_MS = 3000

/** Time after which a caller gives up, in milliseconds; well beyond what the check allows. */
const GIVE_UP_MS = CALLER_DEADLINE_MS + 1500

/** Work of a request, and the pause after a rejection, in milliseconds. */
const WORK_MS = 20
const REJECTED_PAUSE_MS = 50

const OK = 200

/** Sends one request after another until stopped. */
export class CallerWithDeadline {
  #isStopped = false
  #count = 0

  /**
   * @param name - unique among callers
   * @param currentHost - returns the running process of the host
   * @param history - told of each request
   * @param check - told when each request has ended
   */
  constructor (private readonly name: string, private readonly currentHost: () => Incarnation | undefined, private readonly history: RequestHistory, private readonly check: AnswersInTimeCheck) {}

  /** Sends requests until stopped; resolves after the last one has ended. */
  async run (): Promise<void> {
    let agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this.#isStopped) {
      const host = this.currentHost()
      if (host === undefined || await this.#send(host, agent) !== OK) await sleep(REJECTED_PAUSE_MS)
      if (host === undefined || host === this.currentHost()) continue
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
  async #send (host: Incarnation, agent: Agent): Promise<number> {
    this.#count += 1
    const id = `${this.name}-${this.#count}`
    const request: SentRequest = {
      id, kind: 'safe', customer: CUSTOMERS[this.#count % CUSTOMERS.length]?.name ?? '', work: { kind: 'plain', milliseconds: WORK_MS }, body: `body of ${id}`, host: host.label, sentAt: Date.now(), siteVersion: 0, deadlineMs: CALLER_DEADLINE_MS
    }
    this.history.recordRequest(request)
    let isGivenUp = false
    const timer = setTimeout(() => {
      isGivenUp = true
      agent.destroy()
    }, GIVE_UP_MS)
    const { end } = await sendRequest(request, host.addresses['http'] ?? '', agent)
    clearTimeout(timer)
    const endedAt = Date.now()
    this.check.recordEnd(request, endedAt)
    if (!isGivenUp) this.history.recordOutcome({ request, end, endedAt })
    return end.kind === 'answered' ? end.status : 0
  }
}
