/** Reports this host's work at endpoints to a control host, and fetches the totals of the other hosts from it. */
import { MAX_ANSWER_WAIT_MS, LoadExchangeScheduler } from '@eelgrassmux/routing/load/LoadExchangeScheduler'
import { decodeLoadTotals, EndpointNameCache } from '@eelgrassmux/routing/load/loadCodec'
import type { LoadReport, LoadTotals } from '@eelgrassmux/routing/load/loadReport'
import type { HostLoad, PeerLoad } from '@eelgrassmux/routing/load/PeerLoad'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { exchangeLoadReport, sendLoadReport } from '@eelgrassmux/rpc/methods/loadMethods'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Period after the start in which a host asks at a fixed interval, in milliseconds; requests wait at the start until the work of the other hosts is known. */
const STARTUP_PERIOD_MS = 3000

/** Interval between questions during the startup period, in milliseconds. */
const STARTUP_ASK_INTERVAL_MS = 100

/** Dependencies of the exchange. */
export interface LoadExchangePorts {
  readonly datagrams: Pick<DatagramClient, 'ask' | 'tell'>
  /** Returns the address of the control host that adds up the work of all hosts, if known. */
  aggregatorAddress (): string | undefined
  /** Returns the number of live entry hosts. */
  liveHosts (): number
  /** Returns this host's current work. */
  ownWork (): HostLoad
  /** Records the work of the other hosts. */
  readonly others: PeerLoad
  /** Called after the work of the other hosts was updated. */
  onAnswer (): void
}

/** Exchanges load with the control host until stopped. */
export class LoadExchange {
  readonly #plan: LoadExchangeScheduler
  readonly #malformed: LabelledCounter
  readonly #endpointNames = new EndpointNameCache()
  #sequence = 0
  #startupTimer: NodeJS.Timeout | undefined
  #tellTimer: NodeJS.Timeout | undefined
  #tellTimerAt = Number.POSITIVE_INFINITY
  /** Placements that wait for an answer. */
  #waiting: Array<() => void> = []
  #waitTimer: NodeJS.Timeout | undefined

  /**
   * @param host - name of this host
   * @param ports - dependencies
   * @param telemetry - metrics
   */
  constructor (private readonly host: string, private readonly ports: LoadExchangePorts, telemetry: Telemetry) {
    this.#plan = new LoadExchangeScheduler(() => ports.liveHosts())
    this.#malformed = telemetry.labelledCounter('load_totals_malformed_total', 'Answers to load reports that could not be read')
    telemetry.gauge('others_work_recent', '1 while the work of other hosts is known', () => ports.others.isRecent(performance.now()) ? 1 : 0)
  }

  /** Starts asking at a fixed interval, until the startup period is over. */
  start (): void {
    const startedAt = performance.now()
    this.#startupTimer = setInterval(() => {
      if (performance.now() - startedAt > STARTUP_PERIOD_MS) clearInterval(this.#startupTimer)
      this.#ask()
    }, STARTUP_ASK_INTERVAL_MS)
  }

  /** Stops the exchange and releases all waiting placements. */
  stop (): void {
    clearInterval(this.#startupTimer)
    clearTimeout(this.#tellTimer)
    this.#releaseWaiting()
  }

  /**
   * Places a request once the known work of the other hosts is recent enough: immediately, or after asking for it.
   *
   * @param place - places the request; called exactly once
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

  /** Must be called after a request was sent to an endpoint. */
  noteSend (): void {
    if (this.#plan.recordSend(performance.now())) this.#tell()
    else this.#scheduleTelling()
  }

  /**
   * Must be called when this host's work at an endpoint has decreased.
   *
   * @param isContended - whether requests wait for endpoints of that service
   */
  noteChange (isContended = false): void {
    this.#plan.recordChange(performance.now(), isContended)
    this.#scheduleTelling()
  }

  /** @returns false if no control host is known */
  #ask (): boolean {
    const aggregator = this.ports.aggregatorAddress()
    if (aggregator === undefined) return false
    const report = this.#report()
    this.#plan.recordQuery(performance.now())
    this.ports.datagrams.ask(aggregator, exchangeLoadReport, report, (totals, askedAt) => { this.#applyTotals(Buffer.from(totals), askedAt) })
    this.#noteReported(report)
    return true
  }

  #tell (): void {
    const aggregator = this.ports.aggregatorAddress()
    if (aggregator === undefined) return
    const report = this.#report()
    this.ports.datagrams.tell(aggregator, sendLoadReport, report)
    this.#noteReported(report)
  }

  #report (): LoadReport {
    const own = this.ports.ownWork()
    this.#sequence += 1
    this.ports.others.recordOwnReport(this.#sequence, own, performance.now())
    return { host: this.host, sequence: this.#sequence, ...own }
  }

  #noteReported ({ work, links }: HostLoad): void {
    this.#plan.recordReport(work.length > 0 || links.length > 0, performance.now())
    this.#scheduleTelling()
  }

  #applyTotals (bytes: Buffer, askedAt: number): void {
    const totals = this.#decodeTotals(bytes)
    if (totals === undefined) return
    this.ports.others.recordTotals(totals, performance.now())
    this.#plan.recordAnswer(askedAt)
    this.ports.onAnswer()
    this.#releaseWaiting()
  }

  #decodeTotals (bytes: Buffer): LoadTotals | undefined {
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

  /** Keeps one timer, which is moved only if it would fire too late; a timer that fires too early reschedules itself. */
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
