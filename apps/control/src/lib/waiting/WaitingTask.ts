/**
 * Runs the shared order of waiting requests on the leading control host.
 *
 * It exists only while hosts report waiting requests, and follows load reports only then. Decisions are made when
 * questions or load reports arrive. Several that arrive within a few milliseconds are decided about together, since
 * each decision looks at all waiting requests.
 */
import type { LoadReport } from '@eelgrassmux/routing/load/loadReport'
import { WaitingOrder, type WaitingDecision } from '@eelgrassmux/routing/waiting/WaitingOrder'
import type { WaitingAnswer, WaitingReport } from '@eelgrassmux/routing/waiting/waitingMessages'
import type { DatagramServer } from '@eelgrassmux/rpc/datagrams/DatagramServer'
import { exchangeWaiting } from '@eelgrassmux/rpc/methods/waitingMethods'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { LoadAdditions, LoadBoardTask } from '../load/LoadBoardTask.js'
import { listOrderedEndpoints, type EndpointKnowledge } from './listOrderedEndpoints.js'

/** Shortest time between decisions, in milliseconds. */
const MIN_DECISION_INTERVAL_MS = 5

/** Time until the next decision in relation to the time that the last one took, so that decisions take at most a twentieth of the processor. */
const INTERVAL_PER_DURATION = 20

/** Most that the interval may grow to for this, in milliseconds: still less than half of the time for which questions are held. */
const MAX_COALESCING_MS = 40

/** Longest time between decisions, in milliseconds, so that silent hosts and the end of contention are noticed. */
const MAX_DECISION_INTERVAL_MS = 250

/** Age from which the list of endpoints is read again, in milliseconds. */
const ENDPOINTS_LIFETIME_MS = 250

/**
 * Time for which hosts must have reported their load before anything is granted or refused, in milliseconds. All
 * hosts with load report within 350 ms; before, endpoints seem to be empty.
 */
const LOAD_SETTLING_MS = 500

/** Dependencies of the task. */
export interface WaitingPorts {
  /** Whether this control host leads its group. */
  isLeader (): boolean
  /** Returns the site and the current state of the endpoints, except for those that are unresponsive. */
  endpoints (): Omit<EndpointKnowledge, 'unresponsive'>
  readonly loads: Pick<LoadBoardTask, 'reports' | 'extend'>
  readonly telemetry: Telemetry
}

const NO_LOAD: LoadAdditions = new Map()

type Respond = (answer: WaitingAnswer) => void

/** Answers the questions of entry hosts about their waiting requests. */
export class WaitingTask {
  readonly #decisions: LabelledCounter
  /** Open questions by host. */
  readonly #questions = new Map<string, Respond>()
  #order: WaitingOrder | undefined
  #timer: NodeJS.Timeout | undefined
  #timerDueAt = Number.POSITIVE_INFINITY
  /** Time from which the next decision may be made. */
  #mayDecideAt = Number.NEGATIVE_INFINITY
  #endpointsReadAt = Number.NEGATIVE_INFINITY

  /** @param ports - dependencies */
  constructor (private readonly ports: WaitingPorts) {
    const { telemetry, loads } = ports
    this.#decisions = telemetry.labelledCounter('waiting_decisions_total', 'Decisions about requests that wait at entry hosts', 'decision')
    telemetry.gauge('waiting_requests', 'Requests in the shared order', () => this.#order?.figures.waiting ?? 0)
    telemetry.gauge('waiting_hosts', 'Entry hosts that have asked about waiting requests within the last second', () => this.#order?.figures.hosts ?? 0)
    telemetry.gauge('waiting_engines_reserved', 'Engines reserved for large requests', () => this.#order?.figures.reserved ?? 0)
    telemetry.gauge('waiting_grants_outstanding', 'Granted requests that no load report includes yet', () => this.#order?.figures.grants ?? 0)
    loads.extend((report, now) => { this.#observeLoad(report, now) }, () => this.#order?.expectedLoad() ?? NO_LOAD)
  }

  /** @param datagrams - datagram server on which to register the method */
  register (datagrams: DatagramServer): void {
    datagrams.handleLater(exchangeWaiting, (report, respond) => { this.#take(report, respond, performance.now()) })
  }

  /** Drops the order, and the open questions without an answer. */
  stop (): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    this.#timerDueAt = Number.POSITIVE_INFINITY
    this.#order = undefined
    this.#questions.clear()
  }

  #take (report: WaitingReport, respond: Respond, now: number): void {
    // Without an answer, the host follows the new leader or waits for itself.
    if (!this.ports.isLeader()) {
      this.stop()
      return
    }
    this.#order ??= this.#createOrder(now)
    if (!this.#order.takeReport(report, now)) return
    this.#questions.set(report.host, respond)
    this.#decideSoon(now)
  }

  #createOrder (now: number): WaitingOrder {
    const order = new WaitingOrder(decision => { this.#record(decision) })
    this.#readEndpoints(order, now)
    for (const report of this.ports.loads.reports.latestReports(now)) order.observeLoad(report, now)
    return order
  }

  #observeLoad (report: LoadReport, now: number): void {
    if (this.#order?.observeLoad(report, now) === true) this.#decideSoon(now)
  }

  #decideSoon (now: number): void {
    if (now >= this.#mayDecideAt) this.#decide(now)
    else this.#wakeAt(this.#mayDecideAt, now)
  }

  #decide (now: number): void {
    const order = this.#order
    if (order === undefined) return
    if (!this.ports.isLeader()) {
      this.stop()
      return
    }
    if (now - this.#endpointsReadAt >= ENDPOINTS_LIFETIME_MS) this.#readEndpoints(order, now)
    const isLoadKnown = this.ports.loads.reports.reportedForMs(now) >= LOAD_SETTLING_MS
    for (const [host, answer] of order.decide(now, isLoadKnown)) {
      this.#questions.get(host)?.(answer)
      this.#questions.delete(host)
    }
    const durationMs = performance.now() - now
    this.#mayDecideAt = now + Math.min(MAX_COALESCING_MS, Math.max(MIN_DECISION_INTERVAL_MS, durationMs * INTERVAL_PER_DURATION))
    if (order.isIdle) this.stop()
    else this.#wakeAt(Math.min(order.answerDueAt ?? Number.POSITIVE_INFINITY, now + MAX_DECISION_INTERVAL_MS), now)
  }

  #readEndpoints (order: WaitingOrder, now: number): void {
    this.#endpointsReadAt = now
    order.setEndpoints(listOrderedEndpoints({ ...this.ports.endpoints(), unresponsive: this.ports.loads.reports.unresponsive }))
  }

  /** Sets the only timer, unless it is due earlier. */
  #wakeAt (time: number, now: number): void {
    if (this.#timer !== undefined && this.#timerDueAt <= time) return
    clearTimeout(this.#timer)
    this.#timerDueAt = time
    this.#timer = setTimeout(() => {
      this.#timer = undefined
      this.#timerDueAt = Number.POSITIVE_INFINITY
      this.#decide(performance.now())
    }, Math.max(0, time - now))
  }

  #record ({ kind, host, request, waitedMs, waiting, endpoint, retryAfterMs }: WaitingDecision): void {
    this.#decisions.count(kind)
    const { ticket, service, customer, urgency, tokens, patienceMs } = request
    this.ports.telemetry.logDecision('waiting-decided', `${host}/${ticket}`, {
      decision: kind,
      service,
      customer,
      urgency,
      tokens,
      waitedMs: Math.round(waitedMs),
      patienceMs,
      waiting,
      ...(endpoint === undefined ? {} : { endpoint }),
      ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.round(retryAfterMs) })
    })
  }
}
