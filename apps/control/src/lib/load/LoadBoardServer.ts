/**
 * Answers entry hosts' load reports with the work of all hosts.
 *
 * Datagrams and not calls: a report is worth nothing a tenth of a second later,
 * a lost one is made good by the next, and twenty a second from each host would
 * cost more as calls than as what they carry.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram'
import { decode, encode } from '@msgpack/msgpack'
import { LoadBoard } from '@eelgrassmux/routing/load/LoadBoard'
import { loadReportSchema } from '@eelgrassmux/routing/load/loadReport'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Serves the board on one UDP port. */
export class LoadBoardServer {
  readonly #board = new LoadBoard()
  readonly #socket: Socket = createSocket('udp4')
  readonly #reports: LabelledCounter

  /** @param telemetry - metrics */
  constructor (telemetry: Telemetry) {
    this.#reports = telemetry.labelledCounter('load_reports_total', 'Load reports of entry hosts by outcome', 'outcome')
    this.#socket.on('message', (bytes, sender) => { this.#answer(bytes, sender) })
    // A datagram that can't be sent is as good as one that was lost.
    this.#socket.on('error', () => { this.#reports.count('socket-error') })
  }

  /**
   * @param host - IP number
   * @param port - port
   */
  async listen (host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject)
      this.#socket.bind(port, host, () => {
        this.#socket.off('error', reject)
        resolve()
      })
    })
  }

  /** Closes the port. */
  close (): void {
    this.#socket.close()
  }

  #answer (bytes: Buffer, sender: RemoteInfo): void {
    const report = readReport(bytes)
    if (report === undefined) {
      this.#reports.count('malformed')
      return
    }
    this.#reports.count('taken')
    const now = performance.now()
    this.#board.observe(report, now)
    const answer = encode({ host: report.host, sequence: report.sequence, work: this.#board.totals(now) })
    this.#socket.send(answer, sender.port, sender.address)
  }
}

function readReport (bytes: Buffer): ReturnType<typeof loadReportSchema.parse> | undefined {
  try {
    return loadReportSchema.parse(decode(bytes))
  } catch {
    // Counted by the caller: the port may be reached by anybody's datagrams.
    return undefined
  }
}
