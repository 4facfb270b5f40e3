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
const LOOK_MS = 400

/** Every so many looks the others are asked as well: a quarter of the usual lease. Each answer wakes this host. */
const LOOKS_BETWEEN_OTHERS = 2

/** Interval between looks while this host waits for what it needs to serve, in milliseconds; its callers wait, too. */
const HURRIED_LOOK_MS = 100

/** Part of an interval by which looks depart from it by chance, so that hosts that started together don't ask together. */
const JITTER = 0.1

/** Age from which a question counts as unanswered, in milliseconds: many times what an answer takes between data centres. */
const ANSWER_MS = 90

/** Questions in a row without an answer after which a control host counts as silent; one or two may be lost. */
const SILENT_QUESTIONS = 3

/** What is asked of a control host, and heard from it. */
interface Asked {
  askedAt: number
  answeredAt: number
  unanswered: number
}

/** What the reports are made of, and who takes the answers. */
export interface StatusReportsPorts {
  /** Control hosts, as of now. */
  addresses (): Iterable<string>
  /** Whether a control host is watched, as of now. */
  isWatched (address: string): boolean
  /** This host's report, as of now. */
  report (): StatusRequest
  /** Whether this host waits for what it needs to serve. */
  isHurried (): boolean
  /**
   * @param address - control host
   * @param statement - its answer
   * @param askedAt - monotonic milliseconds when it was asked
   */
  onStatement (address: string, statement: StatusResponse, askedAt: number): void
  /** @param address - control host that has left several questions unanswered */
  onSilence (address: string): void
  /** @param lateMs - milliseconds by which the last look was late */
  onLook (lateMs: number): void
}

/** Reports until stopped. */
export class StatusReports {
  readonly #asked = new Map<string, Asked>()
  #timer: NodeJS.Timeout | undefined
  #looks = 0

  /**
   * @param datagrams - asks
   * @param ports - surroundings
   */
  constructor (private readonly datagrams: Pick<DatagramClient, 'ask'>, private readonly ports: StatusReportsPorts) {}

  /** Begins to report. */
  start (): void {
    const now = performance.now()
    this.#askDue(now)
    const lookMs = (this.ports.isHurried() ? HURRIED_LOOK_MS : LOOK_MS) * (1 + (2 * Math.random() - 1) * JITTER)
    this.#timer = setTimeout(() => {
      this.ports.onLook(performance.now() - now - lookMs)
      this.start()
    }, lookMs)
  }

  /** Ends reporting. */
  stop (): void {
    clearTimeout(this.#timer)
  }

  /** Reports to all at once, because something has changed. */
  askAll (): void {
    const now = performance.now()
    for (const address of new Set(this.ports.addresses())) this.#ask(address, now)
  }

  #askDue (now: number): void {
    const addresses = new Set(this.ports.addresses())
    for (const address of this.#asked.keys()) {
      if (!addresses.has(address)) this.#asked.delete(address)
    }
    const areAllDue = this.ports.isHurried() || this.#looks % LOOKS_BETWEEN_OTHERS === 0
    this.#looks += 1
    for (const address of addresses) {
      if (areAllDue || this.ports.isWatched(address) || this.#isUnanswered(address, now)) this.#ask(address, now)
    }
  }

  #isUnanswered (address: string, now: number): boolean {
    const asked = this.#asked.get(address)
    return asked === undefined || isUnanswered(asked, now)
  }

  #ask (address: string, now: number): void {
    const asked = this.#asked.get(address) ?? { askedAt: now, answeredAt: now, unanswered: 0 }
    if (isUnanswered(asked, now)) this.#noteUnanswered(address, asked)
    asked.askedAt = now
    this.#asked.set(address, asked)
    this.datagrams.ask(address, reportStatus, this.ports.report(), (statement, askedAt) => {
      asked.answeredAt = performance.now()
      asked.unanswered = 0
      this.ports.onStatement(address, statement, askedAt)
    })
  }

  #noteUnanswered (address: string, asked: Asked): void {
    asked.unanswered += 1
    if (asked.unanswered >= SILENT_QUESTIONS) this.ports.onSilence(address)
  }
}

function isUnanswered ({ askedAt, answeredAt }: Asked, now: number): boolean {
  return answeredAt < askedAt && now - askedAt >= ANSWER_MS
}
