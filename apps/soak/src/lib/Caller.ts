/** A caller with one connection, which it keeps in use until the other side closes it or its process is gone. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Balancer } from './Balancer.js'
import { callOnce } from './sendRequest.js'
import type { ConfigurationCheck } from './checks/ConfigurationCheck.js'
import type { Draws } from './SeededRandom.js'
import type { EndpointBreak, Work } from './standinProtocol.js'
import type { Ledger } from './RequestHistory.js'
import { REQUEST_KINDS, type AskedRequest, type Outcome, type RequestKind } from './observations.js'
import type { Incarnation } from './ProcessSlot.js'
import { CUSTOMERS } from './soakSite.js'

/** What callers share. */
export interface CallerSurroundings {
  readonly balancer: Balancer
  readonly ledger: Ledger
  readonly configuration: ConfigurationCheck
  /** Faults that endpoints are asked to show, one a request in turn; none in a usual run. */
  readonly breaks: readonly EndpointBreak[]
}

/** Longest pause between two requests, in milliseconds. */
const MOST_PAUSE_MS = 250

/** Pause while no host runs, and after a refusal, in milliseconds. */
const RETRY_MS = 150

/** Bounds of the number of events of a stream. */
const LEAST_EVENTS = 3
const MOST_EVENTS = 30

/** Longest time of a stream, in milliseconds: most of a usual grace time. */
const MOST_STREAM_MS = 6000

/** Longest time of a plain request, in milliseconds. */
const MOST_PLAIN_MS = 1200

/** Sends one request after another until stopped. */
export class Caller {
  #isStopped = false
  #host: Incarnation | undefined
  #agent = new Agent()
  #count = 0

  /**
   * @param name - unique among callers
   * @param draws - decides what is asked
   * @param surroundings - shared with other callers
   */
  constructor (private readonly name: string, private readonly draws: Draws, private readonly surroundings: CallerSurroundings) {}

  /** Runs until stopped; ends with its last request. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      this.#host ??= this.#connect()
      if (this.#host === undefined) await sleep(RETRY_MS)
      else await this.#ask(this.#host)
      await sleep(this.draws.between(0, MOST_PAUSE_MS))
    }
    this.#agent.destroy()
  }

  /** Makes the request under way the last one. */
  stop (): void {
    this.#isStopped = true
  }

  #connect (): Incarnation | undefined {
    this.#agent.destroy()
    this.#agent = new Agent({ keepAlive: true, maxSockets: 1 })
    return this.surroundings.balancer.choose(this.draws)
  }

  async #ask (host: Incarnation): Promise<void> {
    const request = this.#draw(host.label)
    this.surroundings.ledger.noteAsked(request)
    const { end, isKept } = await callOnce(request, host.addresses['http'] ?? '', this.#agent)
    const outcome = { request, end, endedAt: Date.now() }
    this.surroundings.ledger.noteOutcome(outcome)
    this.#noteProbe(outcome)
    if (!isKept) this.#host = undefined
    if (end.kind === 'cut' || end.status !== 200) await sleep(RETRY_MS)
  }

  #draw (host: string): AskedRequest {
    this.#count += 1
    const newest = this.surroundings.configuration.newest
    const kind = this.draws.pick(REQUEST_KINDS)
    const customer = this.draws.pick(CUSTOMERS).name
    const id = `${this.name}-${this.#count}`
    return {
      id, kind, customer, host, work: this.#drawWork(kind), body: `body of ${id}`, sentAt: Date.now(), siteVersion: kind === 'probe' ? Math.max(1, newest) : 0
    }
  }

  #drawWork (kind: RequestKind): Work {
    const { breaks } = this.surroundings
    const fault = breaks.length === 0 ? {} : { fault: this.draws.pick(breaks) }
    switch (kind) {
      case 'probe': return { kind: 'plain', milliseconds: 0 }
      case 'safe':
      case 'unsafe': return { kind: 'plain', milliseconds: Math.round(this.draws.between(0, MOST_PLAIN_MS)), ...fault }
      case 'stream':
      case 'resumable':
      case 'generation': {
        const events = LEAST_EVENTS + this.draws.index(MOST_EVENTS - LEAST_EVENTS)
        return { kind: 'stream', events, intervalMs: Math.round(this.draws.between(0, MOST_STREAM_MS) / events), ...fault }
      }
    }
  }

  #noteProbe ({ request, end, endedAt }: Outcome): void {
    if (request.kind !== 'probe' || end.kind !== 'answered') return
    this.surroundings.configuration.noteProbe({
      host: request.host, version: request.siteVersion, sentAt: request.sentAt, endedAt, status: end.status
    })
  }
}
