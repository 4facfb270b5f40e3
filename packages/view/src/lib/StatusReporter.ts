/**
 * Tells each control host how this host is, again and again, and takes their statements.
 *
 * Statements are what the freshness lease and the knowledge of the leader rest on. Each is a
 * question and an answer of one datagram; one that is lost is asked for again before the
 * lease could notice.
 */
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { reportStatus, type StatusRequest, type StatusResponse } from '@eelgrassmux/rpc/methods/controlMethods'

/**
 * Interval between questions to the control host that is watched, in milliseconds: if one is lost, the next is
 * answered before what that host vouches for runs out, a second after it was asked.
 */
const REPORT_INTERVAL_MS = 400

/** Every so many looks the others are asked as well: a quarter of the usual lease. Each answer wakes this host. */
const UNWATCHED_REPORT_ROUNDS = 2

/** Interval between looks while this host waits for what it needs to serve, in milliseconds; its callers wait, too. */
const URGENT_REPORT_INTERVAL_MS = 100

/** Part of an interval by which looks depart from it by chance, so that hosts that started together don't ask together. */
const JITTER_RATIO = 0.1

/** Age from which a question counts as unanswered, in milliseconds: many times what an answer takes between data centres. */
const RESPONSE_TIMEOUT_MS = 90

/** Questions in a row without an answer after which a control host counts as silent; one or two may be lost. */
const MAX_UNANSWERED_REQUESTS = 3

/** What is asked of a control host, and heard from it. */
interface RequestState {
  askedAt: number
  answeredAt: number
  unanswered: number
}

/** What the reports are made of, and who takes the answers. */
export interface StatusReporterPorts {
  /** Control hosts, as of now. */
  addresses (): Iterable<string>
  /** Whether a control host is watched, as of now. */
  isWatched (address: string): boolean
  /** This host's report, as of now. */
  report (): StatusRequest
  /** Whether this host waits for what it needs to serve. */
  isUrgent (): boolean
  /**
   * @param address - control host
   * @param statement - its answer
   * @param askedAt - monotonic milliseconds when it was asked
   */
  onStatement (address: string, statement: StatusResponse, askedAt: number): void
  /** @param address - control host that has left several questions unanswered */
  onSilence (address: string): void
  /** @param lateMs - milliseconds by which the last look was late */
  onTimer (lateMs: number): void
}

/** Reports until stopped. */
export class StatusReporter {
  readonly #requests = new Map<string, RequestState>()
  #timer: NodeJS.Timeout | undefined
  #rounds = 0

  /**
   * @param datagrams - asks
   * @param ports - surroundings
   */
  constructor (private readonly datagrams: Pick<DatagramClient, 'ask'>, private readonly ports: StatusReporterPorts) {}

  /** Begins to report. */
  start (): void {
    const now = performance.now()
    this.#reportDue(now)
    const intervalMs = (this.ports.isUrgent() ? URGENT_REPORT_INTERVAL_MS : REPORT_INTERVAL_MS) * (1 + (2 * Math.random() - 1) * JITTER_RATIO)
    this.#timer = setTimeout(() => {
      this.ports.onTimer(performance.now() - now - intervalMs)
      this.start()
    }, intervalMs)
  }

  /** Ends reporting. */
  stop (): void {
    clearTimeout(this.#timer)
  }

  /** Reports to all at once, because something has changed. */
  reportToAll (): void {
    const now = performance.now()
    for (const address of new Set(this.ports.addresses())) this.#reportTo(address, now)
  }

  #reportDue (now: number): void {
    const addresses = new Set(this.ports.addresses())
    for (const address of this.#requests.keys()) {
      if (!addresses.has(address)) this.#requests.delete(address)
    }
    const includesUnwatched = this.ports.isUrgent() || this.#rounds % UNWATCHED_REPORT_ROUNDS === 0
    this.#rounds += 1
    for (const address of addresses) {
      if (includesUnwatched || this.ports.isWatched(address) || this.#isUnanswered(address, now)) this.#reportTo(address, now)
    }
  }

  #isUnanswered (address: string, now: number): boolean {
    const asked = this.#requests.get(address)
    return asked === undefined || isUnanswered(asked, now)
  }

  #reportTo (address: string, now: number): void {
    const asked = this.#requests.get(address) ?? { askedAt: now, answeredAt: now, unanswered: 0 }
    if (isUnanswered(asked, now)) this.#recordUnanswered(address, asked)
    asked.askedAt = now
    this.#requests.set(address, asked)
    this.datagrams.ask(address, reportStatus, this.ports.report(), (statement, askedAt) => {
      asked.answeredAt = performance.now()
      asked.unanswered = 0
      this.ports.onStatement(address, statement, askedAt)
    })
  }

  #recordUnanswered (address: string, asked: RequestState): void {
    asked.unanswered += 1
    if (asked.unanswered >= MAX_UNANSWERED_REQUESTS) this.ports.onSilence(address)
  }
}

function isUnanswered ({ askedAt, answeredAt }: RequestState, now: number): boolean {
  return answeredAt < askedAt && now - askedAt >= RESPONSE_TIMEOUT_MS
}
