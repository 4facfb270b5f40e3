/**
 * Answers entry hosts' load reports with the work of all hosts, and asks endpoints that
 * seem to answer none of them whether they live.
 *
 * Datagrams and not calls: a report is worth nothing a tenth of a second later, and a lost
 * one is made good by the next.
 */
import { incarnationName } from '@eelgrassmux/routing/endpoints/incarnationName'
import { LoadAggregator, type AggregatedLoad } from '@eelgrassmux/routing/load/LoadAggregator'
import { encodeLoadTotals, frameLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import { UnresponsiveEndpointDetector, type ResponsivenessChange } from '@eelgrassmux/routing/load/UnresponsiveEndpointDetector'
import type { DatagramServer } from '@eelgrassmux/rpc/datagrams/DatagramServer'
import { exchangeLoadReport, sendLoadReport } from '@eelgrassmux/rpc/methods/loadMethods'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { ReplicatedService } from '@eelgrassmux/schema/site/siteSchema'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Interval between looks at who is silent, in milliseconds: a quarter of the silence that counts. */
const LOOK_MS = 100

/** Asks an endpoint whether it lives. */
export interface EndpointProbe {
  /**
   * @param endpoint - whom to ask
   * @param service - that it belongs to
   * @returns whether it gave any answer, good or bad, in good time
   */
  isResponsive (endpoint: ListedEndpoint, service: ReplicatedService): Promise<boolean>

  /**
   * @param endpoint - whom to ask
   * @param service - that it belongs to
   * @returns whether that very instance has ended: nobody listens at its address, or another one does; undefined if that can't be told
   */
  hasCrashed (endpoint: ListedEndpoint, service: ReplicatedService): Promise<boolean | undefined>
}

/** What the task needs from around it. */
export interface LoadBoardPorts {
  /** Absent where endpoints are not asked. */
  readonly probe?: EndpointProbe | undefined
  /** Endpoints of the site, as of now. */
  endpoints (): readonly ListedEndpoint[]
  /** @returns the service of that name, if the site has it */
  service (name: string): ReplicatedService | undefined
  readonly telemetry: Telemetry
}

/** Adds up while hosts report. */
export class LoadBoardTask {
  readonly #board = new LoadAggregator()
  readonly #silence = new UnresponsiveEndpointDetector()
  #encoded: { readonly totals: AggregatedLoad, readonly bytes: Uint8Array } | undefined
  #timer: NodeJS.Timeout | undefined

  /** @param ports - surroundings */
  constructor (private readonly ports: LoadBoardPorts) {
    ports.telemetry.gauge('endpoints_unresponsive', 'Endpoints that answer neither hosts nor this control host', () => this.#silence.unresponsive.length)
  }

  /** @param datagrams - where to register */
  register (datagrams: DatagramServer): void {
    datagrams.handle(sendLoadReport, report => {
      this.#board.observe(report, performance.now())
      this.#watch()
      return undefined
    })
    datagrams.handle(exchangeLoadReport, report => {
      this.#board.observe(report, performance.now())
      this.#watch()
      return this.#answer(report.host)
    })
  }

  /** Ends asking. */
  stop (): void {
    clearInterval(this.#timer)
    this.#timer = undefined
  }

  #answer (host: string): Uint8Array | undefined {
    const totals = this.#board.totals(performance.now())
    const sequence = totals.sequences.get(host)
    // A host that was added since hears of the totals with its next report.
    if (sequence === undefined) return undefined
    if (this.#encoded?.totals !== totals) this.#encoded = { totals, bytes: encodeLoadTotals(totals) }
    return frameLoadTotals(sequence, this.#encoded.bytes)
  }

  /** Looks only while hosts report here: they report to the leader. */
  #watch (): void {
    if (this.ports.probe === undefined || this.#timer !== undefined) return
    this.#timer = setInterval(() => { this.#look() }, LOOK_MS)
  }

  #look (): void {
    const now = performance.now()
    const { work } = this.#board.totals(now)
    if (this.#board.isIdle) {
      this.stop()
      return
    }
    for (const change of this.#silence.observe(work, now)) this.#note(change)
    const due = this.#silence.takeDueProbes(now)
    if (due.length > 0) this.#askAll(due)
    this.#board.setUnresponsive(this.#silence.unresponsive)
  }

  #askAll (incarnations: readonly string[]): void {
    const listed = new Map(this.ports.endpoints().map(endpoint => [incarnationName(endpoint), endpoint]))
    this.#silence.retain(incarnation => listed.has(incarnation))
    for (const incarnation of incarnations) {
      const endpoint = listed.get(incarnation)
      if (endpoint !== undefined) void this.#ask(incarnation, endpoint)
    }
  }

  async #ask (incarnation: string, endpoint: ListedEndpoint): Promise<void> {
    const service = this.ports.service(endpoint.service)
    const hasAnswered = service === undefined || await this.ports.probe?.isResponsive(endpoint, service) === true
    const change = this.#silence.recordProbeResult(incarnation, hasAnswered, performance.now())
    if (change !== undefined) this.#note(change)
  }

  #note ({ endpoint, isUnresponsive }: ResponsivenessChange): void {
    const work = this.#board.totals(performance.now()).work.find(entry => entry.endpoint === endpoint)
    this.ports.telemetry.logStateChange(isUnresponsive ? 'endpoint-unresponsive' : 'endpoint-responds', {
      endpoint, inFlight: work?.inFlight ?? 0, lastByteAgoMs: Math.round(work?.lastByteAgoMs ?? -1), avoiders: work?.avoiders ?? 0
    })
  }
}
