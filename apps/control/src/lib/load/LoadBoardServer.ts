/**
 * Answers entry hosts' load reports with the work of all hosts.
 *
 * Datagrams and not calls: a report is worth nothing a tenth of a second later,
 * a lost one is made good by the next, and twenty a second from each host would
 * cost more as calls than as what they carry.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram'
import { LoadBoard, type Totals } from '@eelgrassmux/routing/load/LoadBoard'
import { decodeLoadReport, encodeLoadTotals, frameLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import type { LoadReport } from '@eelgrassmux/routing/load/loadReport'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Serves the board on one UDP port. */
export class LoadBoardServer {
  readonly #board = new LoadBoard()
  readonly #socket: Socket = createSocket('udp4')
  readonly #reports: LabelledCounter
  #encoded: { readonly totals: Totals, readonly bytes: Uint8Array } | undefined

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
    const totals = this.#board.totals(now)
    const sequence = totals.sequences.get(report.host)
    // A host that was added since hears of the totals with its next report.
    if (sequence !== undefined) this.#socket.send(frameLoadTotals(sequence, this.#encode(totals)), sender.port, sender.address)
  }

  #encode (totals: Totals): Uint8Array {
    if (this.#encoded?.totals !== totals) this.#encoded = { totals, bytes: encodeLoadTotals(totals) }
    return this.#encoded.bytes
  }
}

function readReport (bytes: Buffer): LoadReport | undefined {
  try {
    return decodeLoadReport(bytes)
  } catch {
    // Counted by the caller: the port may be reached by anybody's datagrams.
    return undefined
  }
}
