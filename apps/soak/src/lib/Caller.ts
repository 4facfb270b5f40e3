/** A caller with one connection, which it reuses until the entry host closes it or exits. */
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Balancer } from './Balancer.js'
import { sendRequest } from './sendRequest.js'
import type { ConfigurationCheck } from './checks/ConfigurationCheck.js'
import type { SeededRandom } from './SeededRandom.js'
import type { EndpointBreak, Work } from './standinProtocol.js'
import type { RequestHistory } from './RequestHistory.js'
import { REQUEST_KINDS, type SentRequest, type Outcome, type RequestEnd, type RequestKind } from './observations.js'
import type { Incarnation } from './ProcessSlot.js'
import { CUSTOMERS } from './soakSite.js'

/** Objects that all callers share. */
export interface CallerContext {
  readonly balancer: Balancer
  readonly history: RequestHistory
  readonly configuration: ConfigurationCheck
  /** Faults that requests ask endpoints for, chosen at random for each request; empty except in runs that break guarantees on purpose. */
  readonly breaks: readonly EndpointBreak[]
}

/** Maximum pause between two requests, in milliseconds. */
const MAX_PAUSE_MS = 250

/** Delay before the next request after a failure, or while no host is running, in milliseconds. */
const RETRY_DELAY_MS = 150

/** Bounds of the number of events of a stream. */
const MIN_EVENTS = 3
const MAX_EVENTS = 30

/** Maximum duration of a stream, in milliseconds: most of the default grace period of 8000 ms. */
const MAX_STREAM_MS = 6000

/** Maximum duration of a plain request, in milliseconds. */
const MAX_PLAIN_MS = 1200

/** Kinds of streams that a caller may take up at any host, and how often it does. */
const RESUMABLE_KINDS: ReadonlySet<RequestKind> = new Set<RequestKind>(['resumable', 'generation'])
const MAX_TAKE_UPS = 2

/** Sends one request after another until stopped. */
export class Caller {
  #isStopped = false
  #host: Incarnation | undefined
  #agent = new Agent()
  #count = 0
  #takeUps = 0

  /**
   * @param name - unique among callers
   * @param random - determines the requests
   * @param context - shared with other callers
   */
  constructor (private readonly name: string, private readonly random: SeededRandom, private readonly context: CallerContext) {}

  /** Sends requests until stopped; resolves after the last one has ended. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      this.#host ??= this.#connect()
      if (this.#host === undefined) await sleep(RETRY_DELAY_MS)
      else await this.#sendNext(this.#host)
      await sleep(this.random.between(0, MAX_PAUSE_MS))
    }
    this.#agent.destroy()
  }

  /** Sends no further requests after the current one. */
  stop (): void {
    this.#isStopped = true
  }

  #connect (): Incarnation | undefined {
    this.#agent.destroy()
    this.#agent = new Agent({ keepAlive: true, maxSockets: 1 })
    return this.context.balancer.choose(this.random)
  }

  async #sendNext (host: Incarnation): Promise<void> {
    const end = await this.#send(this.#drawRequest(host.label), host)
    if (end.kind === 'cut' || end.status !== 200) await sleep(RETRY_DELAY_MS)
  }

  async #send (request: SentRequest, host: Incarnation): Promise<RequestEnd> {
    this.context.history.recordRequest(request)
    const { end, isReusable } = await sendRequest(request, host.addresses['http'] ?? '', this.#agent)
    const outcome = { request, end, endedAt: Date.now() }
    this.context.history.recordOutcome(outcome)
    this.#recordProbe(outcome)
    if (!isReusable) this.#host = undefined
    await this.#takeUp(outcome)
    return end
  }

  /** Asks any host for the rest of a stream whose connection broke, up to {@link MAX_TAKE_UPS} times. */
  async #takeUp ({ request, end }: Outcome): Promise<void> {
    const { takenUp, work, kind } = request
    const lastEvent = (takenUp?.lastEvent ?? 0) + end.events.length
    const mayTakeUp = RESUMABLE_KINDS.has(kind) && work.fault === undefined && end.kind === 'cut' && lastEvent > 0 && this.#takeUps < MAX_TAKE_UPS && !this.#isStopped
    const host = mayTakeUp ? this.#connect() : undefined
    if (host === undefined) {
      this.#takeUps = 0
      return
    }
    this.#takeUps += 1
    this.#host = host
    const first = takenUp?.first ?? request.id
    await this.#send({ ...request, id: `${first}-again-${this.#takeUps}`, host: host.label, sentAt: Date.now(), takenUp: { first, lastEvent } }, host)
  }

  #drawRequest (host: string): SentRequest {
    this.#count += 1
    const newest = this.context.configuration.newest
    const kind = this.random.pick(REQUEST_KINDS)
    const customer = this.random.pick(CUSTOMERS).name
    const id = `${this.name}-${this.#count}`
    return {
      id, kind, customer, host, work: this.#drawWork(kind), body: `body of ${id}`, sentAt: Date.now(), siteVersion: kind === 'probe' ? Math.max(1, newest) : 0
    }
  }

  #drawWork (kind: RequestKind): Work {
    const { breaks } = this.context
    const fault = breaks.length === 0 ? {} : { fault: this.random.pick(breaks) }
    switch (kind) {
      case 'probe': return { kind: 'plain', milliseconds: 0 }
      case 'safe':
      case 'unsafe': return { kind: 'plain', milliseconds: Math.round(this.random.between(0, MAX_PLAIN_MS)), ...fault }
      case 'stream':
      case 'resumable':
      case 'generation': {
        const events = MIN_EVENTS + this.random.index(MAX_EVENTS - MIN_EVENTS)
        return { kind: 'stream', events, intervalMs: Math.round(this.random.between(0, MAX_STREAM_MS) / events), ...fault }
      }
    }
  }

  #recordProbe ({ request, end, endedAt }: Outcome): void {
    if (request.kind !== 'probe' || end.kind !== 'answered') return
    this.context.configuration.recordProbe({
      host: request.host, version: request.siteVersion, sentAt: request.sentAt, endedAt, status: end.status
    })
  }
}
