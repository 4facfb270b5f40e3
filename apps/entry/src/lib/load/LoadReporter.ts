/** Tells a control host of this host's work at endpoints, and hears of the others'. */
import { decodeLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import type { LoadTotals } from '@eelgrassmux/routing/load/loadReport'
import type { HostWork, OthersWork } from '@eelgrassmux/routing/load/OthersWork'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import { reportLoad } from '@eelgrassmux/rpc/methods/loadMethods'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/**
 * Shortest interval between reports, in milliseconds: in that time about half a
 * request arrives at a given engine of today's deployments.
 */
const SHORTEST_REPORT_MS = 50

/** Longest interval, in milliseconds: half of the age up to which the answers are used. */
const LONGEST_REPORT_MS = 200

/** Reports that all hosts together send in a second, once they are many: some 0.1 cores of the host that adds up. */
const REPORTS_PER_SECOND = 720

const MILLISECONDS_PER_SECOND = 1000

/**
 * @param liveHosts - entry hosts that report
 * @returns milliseconds between the reports of one
 */
export function reportIntervalMs (liveHosts: number): number {
  const sharedMs = liveHosts * MILLISECONDS_PER_SECOND / REPORTS_PER_SECOND
  return Math.min(LONGEST_REPORT_MS, Math.max(SHORTEST_REPORT_MS, sharedMs))
}

/** Where reports come from and answers go. */
export interface LoadReporterPorts {
  readonly datagrams: DatagramClient
  /** Address of the control host that adds up, as of now. */
  board (): string | undefined
  /** Entry hosts that report, as of now. */
  liveHosts (): number
  /** This host's work, as of now. */
  ownWork (): HostWork
  /** Told of the others' work. */
  readonly others: OthersWork
  /** Called when the others' work was heard. */
  onAnswer (): void
}

/** Reports until stopped. */
export class LoadReporter {
  readonly #malformed: LabelledCounter
  #sequence = 0
  #timer: NodeJS.Timeout | undefined

  /**
   * @param host - name of this host
   * @param ports - surroundings
   * @param telemetry - metrics
   */
  constructor (private readonly host: string, private readonly ports: LoadReporterPorts, telemetry: Telemetry) {
    this.#malformed = telemetry.labelledCounter('load_totals_malformed_total', 'Answers to load reports that could not be read')
    telemetry.gauge('others_work_recent', '1 while the work of other hosts is known', () => ports.others.isRecent(performance.now()) ? 1 : 0)
  }

  /** Begins to report. */
  start (): void {
    this.#timer = setTimeout(() => {
      this.#report()
      this.start()
    }, reportIntervalMs(this.ports.liveHosts()))
  }

  /** Ends reporting. */
  stop (): void {
    clearTimeout(this.#timer)
  }

  #report (): void {
    const address = this.ports.board()
    if (address === undefined) return
    const own = this.ports.ownWork()
    this.#sequence += 1
    this.ports.others.sent(this.#sequence, own)
    this.ports.datagrams.ask(address, reportLoad, { host: this.host, sequence: this.#sequence, ...own }, totals => { this.#take(Buffer.from(totals)) })
  }

  #take (bytes: Buffer): void {
    const totals = this.#read(bytes)
    if (totals === undefined) return
    this.ports.others.answered(totals, performance.now())
    this.ports.onAnswer()
  }

  #read (bytes: Buffer): LoadTotals | undefined {
    try {
      return decodeLoadTotals(bytes)
    } catch (error) {
      this.#malformed.count(error instanceof Error ? error.name : 'unknown')
      return undefined
    }
  }
}
