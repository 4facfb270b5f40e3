/** Tells a control host of this host's work at endpoints, and asks it for that of all hosts. */
import { MAX_ANSWER_WAIT_MS, LoadExchangeScheduler } from '@eelgrassmux/routing/load/LoadExchangeScheduler'
import { decodeLoadTotals, EndpointNameCache } from '@eelgrassmux/routing/load/loadCodec'
import type { LoadReport, LoadTotals } from '@eelgrassmux/routing/load/loadReport'
import type { HostLoad, PeerLoad } from '@eelgrassmux/routing/load/PeerLoad'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { askLoad, tellLoad } from '@eelgrassmux/rpc/methods/loadMethods'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Time after the start in which a host asks by the clock, in milliseconds: what waits at its start is let go once the others' work is known. */
const STARTUP_MS = 3000

/** Interval of that, in milliseconds. */
const STARTUP_ASK_MS = 100

/** Where questions come from and answers go. */
export interface LoadExchangePorts {
  readonly datagrams: Pick<DatagramClient, 'ask' | 'tell'>
  /** Address of the control host that adds up, as of now. */
  board (): string | undefined
  /** Entry hosts that exchange, as of now. */
  liveHosts (): number
  /** This host's work, as of now. */
  ownWork (): HostLoad
  /** Told of the others' work. */
  readonly others: PeerLoad
  /** Called when the others' work was heard. */
  onAnswer (): void
}

/** Exchanges until stopped. */
export class LoadExchange {
  readonly #plan: LoadExchangeScheduler
  readonly #malformed: LabelledCounter
  readonly #endpointNames = new EndpointNameCache()
  #sequence = 0
  #startup: NodeJS.Timeout | undefined
  #tellTimer: NodeJS.Timeout | undefined
  #tellTimerAt = Number.POSITIVE_INFINITY
  /** Requests that wait for an answer. */
  #waiting: Array<() => void> = []
  #waitTimer: NodeJS.Timeout | undefined

  /**
   * @param host - name of this host
   * @param ports - surroundings
   * @param telemetry - metrics
   */
  constructor (private readonly host: string, private readonly ports: LoadExchangePorts, telemetry: Telemetry) {
    this.#plan = new LoadExchangeScheduler(() => ports.liveHosts())
    this.#malformed = telemetry.labelledCounter('load_totals_malformed_total', 'Answers to load reports that could not be read')
    telemetry.gauge('others_work_recent', '1 while the work of other hosts is known', () => ports.others.isRecent(performance.now()) ? 1 : 0)
  }

  /** Begins to ask by the clock, until the host has started. */
  start (): void {
    const startedAt = performance.now()
    this.#startup = setInterval(() => {
      if (performance.now() - startedAt > STARTUP_MS) clearInterval(this.#startup)
      this.#ask()
    }, STARTUP_ASK_MS)
  }

  /** Ends exchanging; what waits goes on. */
  stop (): void {
    clearInterval(this.#startup)
    clearTimeout(this.#tellTimer)
    this.#releaseWaiting()
  }

  /**
   * Has a request placed on what is known of the others' work: at once, or after a moment in which they are asked.
   *
   * @param place - called once
   */
  beforePlacing (place: () => void): void {
    const { asks, waits } = this.#plan.planPlacement(performance.now())
    const isAsked = asks ? this.#ask() : true
    if (!waits || !isAsked) {
      place()
      return
    }
    this.#waiting.push(place)
    this.#waitTimer ??= setTimeout(() => { this.#releaseWaiting() }, MAX_ANSWER_WAIT_MS)
  }

  /** Call after a request was sent to an endpoint. */
  noteSend (): void {
    if (this.#plan.recordSend(performance.now())) this.#tell()
    else this.#scheduleTelling()
  }

  /** Call when an endpoint has less to do for this host. */
  noteChange (): void {
    this.#plan.recordChange(performance.now())
    this.#scheduleTelling()
  }

  /** @returns whether there was anybody to ask */
  #ask (): boolean {
    const board = this.ports.board()
    if (board === undefined) return false
    const report = this.#report()
    this.#plan.recordQuery(performance.now())
    this.ports.datagrams.ask(board, askLoad, report, (totals, askedAt) => { this.#take(Buffer.from(totals), askedAt) })
    this.#noteReported(report)
    return true
  }

  #tell (): void {
    const board = this.ports.board()
    if (board === undefined) return
    const report = this.#report()
    this.ports.datagrams.tell(board, tellLoad, report)
    this.#noteReported(report)
  }

  #report (): LoadReport {
    const own = this.ports.ownWork()
    this.#sequence += 1
    this.ports.others.recordOwnReport(this.#sequence, own)
    return { host: this.host, sequence: this.#sequence, ...own }
  }

  #noteReported ({ work, links }: HostLoad): void {
    this.#plan.recordReport(work.length > 0 || links.length > 0, performance.now())
    this.#scheduleTelling()
  }

  #take (bytes: Buffer, askedAt: number): void {
    const totals = this.#read(bytes)
    if (totals === undefined) return
    this.ports.others.recordTotals(totals, performance.now())
    this.#plan.recordAnswer(askedAt)
    this.ports.onAnswer()
    this.#releaseWaiting()
  }

  #read (bytes: Buffer): LoadTotals | undefined {
    try {
      return decodeLoadTotals(bytes, this.#endpointNames)
    } catch (error) {
      this.#malformed.count(error instanceof Error ? error.name : 'unknown')
      return undefined
    }
  }

  #releaseWaiting (): void {
    clearTimeout(this.#waitTimer)
    this.#waitTimer = undefined
    for (const place of this.#waiting.splice(0)) place()
  }

  /** One timer, moved only if it would fire too late: one that fires too early looks again. */
  #scheduleTelling (): void {
    const { nextReportAt: tellAt } = this.#plan
    if (tellAt === undefined || this.#tellTimerAt <= tellAt) return
    clearTimeout(this.#tellTimer)
    this.#tellTimerAt = tellAt
    this.#tellTimer = setTimeout(() => {
      this.#tellTimerAt = Number.POSITIVE_INFINITY
      if ((this.#plan.nextReportAt ?? Number.POSITIVE_INFINITY) <= performance.now()) this.#tell()
      else this.#scheduleTelling()
    }, Math.max(0, tellAt - performance.now()))
  }
}
