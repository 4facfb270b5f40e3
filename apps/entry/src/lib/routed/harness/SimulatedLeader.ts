/** The leading control host of a simulation: totals of the load, and the order of waiting requests, over datagrams on a virtual clock. */
import { LoadAggregator } from '@eelgrassmux/routing/load/LoadAggregator'
import { encodeLoadTotals, frameLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import { NO_ENDPOINT_LOAD, type LoadReport, type LoadTotals } from '@eelgrassmux/routing/load/loadReport'
import type { OrderedEndpoint } from '@eelgrassmux/routing/waiting/EndpointRoom'
import { WaitingOrder } from '@eelgrassmux/routing/waiting/WaitingOrder'
import type { WaitingAnswer, WaitingReport } from '@eelgrassmux/routing/waiting/waitingMessages'
import type { DatagramClient } from '@eelgrassmux/rpc/datagrams/DatagramClient'
import type { DatagramMethod } from '@eelgrassmux/rpc/datagrams/DatagramMethod'
import { exchangeWaiting } from '@eelgrassmux/rpc/methods/waitingMethods'

/** One-way latency between data centres, in milliseconds. */
const LATENCY_MS = 1.4

/** Shortest interval between two decisions, in milliseconds. */
const DECISION_INTERVAL_MS = 2

/** Datagrams of a host, all to the leader. */
export type SimulatedDatagrams = Pick<DatagramClient, 'ask' | 'tell'>

/** Answers load reports and questions about waiting requests. */
export class SimulatedLeader {
  readonly #board = new LoadAggregator()
  readonly #order = new WaitingOrder()
  readonly #questions = new Map<string, (answer: WaitingAnswer) => void>()
  #isDeciding = false
  /** Hosts whose datagrams are lost. */
  readonly cutOff = new Set<string>()
  /** Questions about waiting requests, by host. */
  readonly asked = new Map<string, WaitingReport[]>()

  /** @param endpoints - endpoints with their limits */
  constructor (endpoints: readonly OrderedEndpoint[]) {
    this.#order.setEndpoints(endpoints)
  }

  /**
   * @param host - name of a host
   * @returns the datagrams of that host
   */
  datagramsOf (host: string): SimulatedDatagrams {
    return {
      ask: (_address, method, request, onResponse) => {
        const sentAt = performance.now()
        this.#deliver(host, method, request, response => { onResponse(response, sentAt) })
      },
      tell: (_address, method, request) => { this.#deliver(host, method, request, () => {}) }
    }
  }

  #deliver<Request, Response> (host: string, method: DatagramMethod<Request, Response>, request: Request, respond: (response: Response) => void): void {
    const bytes = method.request.encode(request)
    const delayed = (action: () => void): void => { setTimeout(() => { if (!this.cutOff.has(host)) action() }, LATENCY_MS) }
    const answer = (response: unknown): void => { delayed(() => { respond(method.response.decode(Buffer.from(method.response.encode(response as Response)))) }) }
    delayed(() => {
      const received = method.request.decode(Buffer.from(bytes))
      if (method.name === exchangeWaiting.name) this.#takeQuestion(received as WaitingReport, answer)
      else this.#takeLoad(received as LoadReport, answer)
    })
  }

  #takeLoad (report: LoadReport, answer: (totals: unknown) => void): void {
    const now = performance.now()
    if (this.#board.observe(report, now) && this.#order.observeLoad(report, now)) this.#decideSoon()
    const totals = this.#board.totals(now)
    const sequence = totals.sequences.get(report.host)
    if (sequence !== undefined) answer(frameLoadTotals(sequence, encodeLoadTotals({ ...totals, work: this.#withGrants(totals.work) })))
  }

  #withGrants (work: LoadTotals['work']): LoadTotals['work'] {
    const granted = this.#order.expectedLoad()
    const known = new Map(work.map(entry => [entry.endpoint, entry]))
    for (const [endpoint, { inFlight }] of granted) {
      const entry = known.get(endpoint) ?? { ...NO_ENDPOINT_LOAD, endpoint }
      known.set(endpoint, { ...entry, inFlight: entry.inFlight + inFlight })
    }
    return [...known.values()]
  }

  #takeQuestion (report: WaitingReport, answer: (answer: WaitingAnswer) => void): void {
    this.asked.set(report.host, [...this.asked.get(report.host) ?? [], report])
    if (!this.#order.takeReport(report, performance.now())) return
    this.#questions.set(report.host, answer)
    this.#decideSoon()
  }

  #decideSoon (): void {
    if (this.#isDeciding) return
    this.#isDeciding = true
    setTimeout(() => { this.#decide() }, DECISION_INTERVAL_MS)
  }

  #decide (): void {
    const now = performance.now()
    this.#isDeciding = false
    for (const [host, answer] of this.#order.decide(now)) {
      this.#questions.get(host)?.(answer)
      this.#questions.delete(host)
    }
    const dueAt = this.#order.answerDueAt
    if (dueAt === undefined) return
    this.#isDeciding = true
    setTimeout(() => { this.#decide() }, Math.min(20, Math.max(DECISION_INTERVAL_MS, dueAt - now)))
  }
}
