/**
 * Periodically reports the status of this host to each control host and receives their statements.
 *
 * The freshness lease and the known leader depend on these statements. Request and response are
 * one datagram each; a lost one is repeated soon enough for the lease not to expire.
 */
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { reportStatus, type StatusRequest, type StatusResponse } from '@eelgrassmux/rpc/methods/controlMethods'

/**
 * Interval between reports to the watched control hosts, in milliseconds. If one is lost, the next one is
 * answered before the confirmations of that host expire, a second after the request.
 */
const REPORT_INTERVAL_MS = 400

/** Number of rounds per report to the other control hosts: a quarter of the usual lease. Each response wakes this host, so fewer reports save processor time. */
const ROUNDS_PER_UNWATCHED_REPORT = 2

/** Interval between reports while this host cannot serve yet, in milliseconds; short because callers are waiting. */
const URGENT_REPORT_INTERVAL_MS = 100

/** Random deviation from the interval, as a fraction of it, so that hosts that start together do not report together. */
const JITTER_RATIO = 0.1

/** Time after which a request counts as unanswered, in milliseconds; many times the round trip between data centres. */
const RESPONSE_TIMEOUT_MS = 90

/** Consecutive unanswered requests after which a control host counts as silent; one or two may be lost. */
const UNANSWERED_REQUESTS_UNTIL_SILENT = 3

/** Latest request to a control host and latest response from it. Times are monotonic milliseconds. */
interface RequestState {
  askedAt: number
  answeredAt: number
  unanswered: number
}

/** Source of the reports and receiver of the responses. */
export interface StatusReporterPorts {
  /** Current addresses of the control hosts. */
  addresses (): Iterable<string>
  /** Whether a control host is currently watched. */
  isWatched (address: string): boolean
  /** Current status of this host. */
  report (): StatusRequest
  /** Whether this host is still missing something that it needs to serve. */
  isUrgent (): boolean
  /**
   * @param address - address of the control host
   * @param statement - response of the control host
   * @param askedAt - monotonic milliseconds at which the request was sent
   */
  onStatement (address: string, statement: StatusResponse, askedAt: number): void
  /** @param address - address of a control host that did not answer several consecutive requests */
  onSilence (address: string): void
  /** @param lateMs - milliseconds by which the report timer fired late */
  onTimer (lateMs: number): void
}

/** Sends reports from `start` until `stop`. */
export class StatusReporter {
  readonly #requests = new Map<string, RequestState>()
  #timer: NodeJS.Timeout | undefined
  #rounds = 0

  /**
   * @param datagrams - sends the requests
   * @param ports - source of the reports and receiver of the responses
   */
  constructor (private readonly datagrams: Pick<DatagramClient, 'ask'>, private readonly ports: StatusReporterPorts) {}

  /** Sends the reports that are due and schedules the next round. */
  start (): void {
    const now = performance.now()
    this.#reportDue(now)
    const intervalMs = (this.ports.isUrgent() ? URGENT_REPORT_INTERVAL_MS : REPORT_INTERVAL_MS) * (1 + (2 * Math.random() - 1) * JITTER_RATIO)
    this.#timer = setTimeout(() => {
      this.ports.onTimer(performance.now() - now - intervalMs)
      this.start()
    }, intervalMs)
  }

  /** Cancels the next round. */
  stop (): void {
    clearTimeout(this.#timer)
  }

  /** Reports to all control hosts at once, after a change of the status. */
  reportToAll (): void {
    const now = performance.now()
    for (const address of new Set(this.ports.addresses())) this.#reportTo(address, now)
  }

  #reportDue (now: number): void {
    const addresses = new Set(this.ports.addresses())
    for (const address of this.#requests.keys()) {
      if (!addresses.has(address)) this.#requests.delete(address)
    }
    const includesUnwatched = this.ports.isUrgent() || this.#rounds % ROUNDS_PER_UNWATCHED_REPORT === 0
    this.#rounds += 1
    for (const address of addresses) {
      if (includesUnwatched || this.ports.isWatched(address) || this.#isUnanswered(address, now)) this.#reportTo(address, now)
    }
  }

  #isUnanswered (address: string, now: number): boolean {
    const request = this.#requests.get(address)
    return request === undefined || isUnanswered(request, now)
  }

  #reportTo (address: string, now: number): void {
    const request = this.#requests.get(address) ?? { askedAt: now, answeredAt: now, unanswered: 0 }
    if (isUnanswered(request, now)) this.#recordUnanswered(address, request)
    request.askedAt = now
    this.#requests.set(address, request)
    this.datagrams.ask(address, reportStatus, this.ports.report(), (statement, askedAt) => {
      request.answeredAt = performance.now()
      request.unanswered = 0
      this.ports.onStatement(address, statement, askedAt)
    })
  }

  #recordUnanswered (address: string, request: RequestState): void {
    request.unanswered += 1
    if (request.unanswered >= UNANSWERED_REQUESTS_UNTIL_SILENT) this.ports.onSilence(address)
  }
}

function isUnanswered ({ askedAt, answeredAt }: RequestState, now: number): boolean {
  return answeredAt < askedAt && now - askedAt >= RESPONSE_TIMEOUT_MS
}
