/** Tells a control host of this host's work at endpoints, and hears of the others'. */
import { createSocket, type Socket } from 'node:dgram'
import { decode, encode } from '@msgpack/msgpack'
import { loadReportSchema, type EndpointWork } from '@eelgrassmux/routing/load/loadReport'
import type { OthersWork } from '@eelgrassmux/routing/load/OthersWork'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/**
 * Interval between reports, in milliseconds: about one request in the largest
 * of today's deployments arrives at a given engine in that time.
 */
const REPORT_MS = 50

/** Reports until stopped. */
export class LoadReporter {
  readonly #socket: Socket = createSocket('udp4')
  readonly #outcomes: LabelledCounter
  #sequence = 0
  #timer: NodeJS.Timeout | undefined

  /**
   * @param host - name of this host
   * @param board - address of the control host that adds up, as of now
   * @param ownWork - this host's work, as of now
   * @param others - told of the others' work
   * @param telemetry - metrics
   */
  constructor (
    private readonly host: string,
    private readonly board: () => string | undefined,
    private readonly ownWork: () => EndpointWork[],
    private readonly others: OthersWork,
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
    this.#timer = setInterval(() => { this.#report() }, REPORT_MS)
  }

  /** Ends reporting. */
  stop (): void {
    clearInterval(this.#timer)
    this.#socket.close()
  }

  #report (): void {
    const [address, port] = this.board()?.split(':') ?? []
    if (address === undefined || port === undefined) return
    const work = this.ownWork()
    this.#sequence += 1
    this.others.sent(this.#sequence, work)
    this.#outcomes.count('sent')
    this.#socket.send(encode({ host: this.host, sequence: this.#sequence, work }), Number(port), address)
  }

  #take (bytes: Buffer): void {
    try {
      const { sequence, work } = loadReportSchema.parse(decode(bytes))
      this.others.answered(sequence, work, performance.now())
      this.#outcomes.count('answered')
    } catch {
      this.#outcomes.count('malformed')
    }
  }
}
