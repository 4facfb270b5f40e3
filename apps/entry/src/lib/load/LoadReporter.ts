/** Tells a control host of this host's work at endpoints, and hears of the others'. */
import { createSocket, type Socket } from 'node:dgram'
import { decodeLoadTotals, encodeLoadReport } from '@eelgrassmux/routing/load/loadCodec'
import type { HostWork, OthersWork } from '@eelgrassmux/routing/load/OthersWork'
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

/** Reports until stopped. */
export class LoadReporter {
  readonly #socket: Socket = createSocket('udp4')
  readonly #outcomes: LabelledCounter
  #sequence = 0
  #timer: NodeJS.Timeout | undefined
  #lagMs = Number.POSITIVE_INFINITY

  /**
   * @param host - name of this host
   * @param board - address of the control host that adds up, as of now
   * @param liveHosts - entry hosts that report, as of now
   * @param ownWork - this host's work, as of now
   * @param others - told of the others' work
   * @param onAnswer - called when the others' work was heard
   * @param telemetry - metrics
   */
  constructor (
    private readonly host: string,
    private readonly board: () => string | undefined,
    private readonly liveHosts: () => number,
    private readonly ownWork: () => HostWork,
    private readonly others: OthersWork,
    private readonly onAnswer: () => void,
    telemetry: Telemetry
  ) {
    this.#outcomes = telemetry.labelledCounter('load_exchanges_total', 'Load reports and answers by outcome', 'outcome')
    telemetry.gauge('others_work_recent', '1 while the work of other hosts is known', () => others.isRecent(performance.now()) ? 1 : 0)
    this.#socket.on('message', bytes => { this.#take(bytes) })
    // As good as a lost datagram.
    this.#socket.on('error', () => { this.#outcomes.count('socket-error') })
  }

  /** @param host - IP number to send from */
  async start (host: string): Promise<void> {
    await new Promise<void>(resolve => { this.#socket.bind(0, host, resolve) })
    this.#schedule()
  }

  /** Ends reporting. */
  stop (): void {
    clearTimeout(this.#timer)
    this.#socket.close()
  }

  /**
   * How late the last report was, in milliseconds: for so long this process did not get
   * to its sockets. Infinite before the first: connections have waited while it was loaded.
   */
  get lagMs (): number { return this.#lagMs }

  #schedule (): void {
    const intervalMs = reportIntervalMs(this.liveHosts())
    const dueAt = performance.now() + intervalMs
    this.#timer = setTimeout(() => {
      this.#lagMs = performance.now() - dueAt
      this.#report()
      this.#schedule()
    }, intervalMs)
  }

  #report (): void {
    const [address, port] = this.board()?.split(':') ?? []
    if (address === undefined || port === undefined) return
    const own = this.ownWork()
    this.#sequence += 1
    this.others.sent(this.#sequence, own)
    this.#outcomes.count('sent')
    this.#socket.send(encodeLoadReport({ host: this.host, sequence: this.#sequence, ...own }), Number(port), address)
  }

  #take (bytes: Buffer): void {
    try {
      this.others.answered(decodeLoadTotals(bytes), performance.now())
      this.#outcomes.count('answered')
      this.onAnswer()
    } catch {
      this.#outcomes.count('malformed')
    }
  }
}
