/**
 * Answers the load reports of entry hosts with the totals of all hosts, and probes
 * endpoints that seem to answer none of the hosts.
 *
 * Reports are sent as datagrams instead of calls, because a report is worthless after a
 * tenth of a second and a lost one is replaced by the next.
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

/** Interval between checks for silent endpoints, in milliseconds. This is a quarter of the silence after which an endpoint is probed. */
const SILENCE_CHECK_INTERVAL_MS = 100

/** Probes whether an endpoint is alive. */
export interface EndpointProbe {
  /**
   * @param endpoint - endpoint to probe
   * @param service - service of the endpoint
   * @returns whether the endpoint gave any answer in time, including an error
   */
  isResponsive (endpoint: ListedEndpoint, service: ReplicatedService): Promise<boolean>

  /**
   * @param endpoint - endpoint to probe
   * @param service - service of the endpoint
   * @returns true if nothing listens at the address or another instance does, false if the same instance is still running, and undefined if this cannot be determined
   */
  hasCrashed (endpoint: ListedEndpoint, service: ReplicatedService): Promise<boolean | undefined>
}

/** Dependencies of the task. */
export interface LoadBoardPorts {
  /** Absent if endpoints are not probed. */
  readonly probe?: EndpointProbe | undefined
  /** Returns the current endpoints of the site. */
  endpoints (): readonly ListedEndpoint[]
  /** @returns the service with the given name, or undefined if the site does not define it */
  service (name: string): ReplicatedService | undefined
  readonly telemetry: Telemetry
}

/** Aggregates load reports while hosts send them. */
export class LoadBoardTask {
  readonly #board = new LoadAggregator()
  readonly #silentEndpoints = new UnresponsiveEndpointDetector()
  #encoded: { readonly totals: AggregatedLoad, readonly bytes: Uint8Array } | undefined
  #timer: NodeJS.Timeout | undefined

  /** @param ports - dependencies */
  constructor (private readonly ports: LoadBoardPorts) {
    ports.telemetry.gauge('endpoints_unresponsive', 'Endpoints that answer neither hosts nor this control host', () => this.#silentEndpoints.unresponsive.length)
  }

  /** @param datagrams - datagram server on which to register the methods */
  register (datagrams: DatagramServer): void {
    datagrams.handle(sendLoadReport, report => {
      this.#board.observe(report, performance.now())
      this.#startChecks()
      return undefined
    })
    datagrams.handle(exchangeLoadReport, report => {
      this.#board.observe(report, performance.now())
      this.#startChecks()
      return this.#totalsFor(report.host)
    })
  }

  /** Stops the checks. */
  stop (): void {
    clearInterval(this.#timer)
    this.#timer = undefined
  }

  #totalsFor (host: string): Uint8Array | undefined {
    const totals = this.#board.totals(performance.now())
    const sequence = totals.sequences.get(host)
    // A host that is not in the totals yet receives them with its next report.
    if (sequence === undefined) return undefined
    if (this.#encoded?.totals !== totals) this.#encoded = { totals, bytes: encodeLoadTotals(totals) }
    return frameLoadTotals(sequence, this.#encoded.bytes)
  }

  /** Starts the checks when a report arrives. Hosts report only to the leader, so other replicas run no checks. */
  #startChecks (): void {
    if (this.ports.probe === undefined || this.#timer !== undefined) return
    this.#timer = setInterval(() => { this.#checkSilence() }, SILENCE_CHECK_INTERVAL_MS)
  }

  #checkSilence (): void {
    const now = performance.now()
    const { work } = this.#board.totals(now)
    if (this.#board.isIdle) {
      this.stop()
      return
    }
    for (const change of this.#silentEndpoints.observe(work, now)) this.#logChange(change)
    const due = this.#silentEndpoints.takeDueProbes(now)
    if (due.length > 0) this.#probeAll(due)
    this.#board.setUnresponsive(this.#silentEndpoints.unresponsive)
  }

  #probeAll (incarnations: readonly string[]): void {
    const listed = new Map(this.ports.endpoints().map(endpoint => [incarnationName(endpoint), endpoint]))
    this.#silentEndpoints.retain(incarnation => listed.has(incarnation))
    for (const incarnation of incarnations) {
      const endpoint = listed.get(incarnation)
      if (endpoint !== undefined) void this.#probe(incarnation, endpoint)
    }
  }

  async #probe (incarnation: string, endpoint: ListedEndpoint): Promise<void> {
    const service = this.ports.service(endpoint.service)
    const hasAnswered = service === undefined || await this.ports.probe?.isResponsive(endpoint, service) === true
    const change = this.#silentEndpoints.recordProbeResult(incarnation, hasAnswered, performance.now())
    if (change !== undefined) this.#logChange(change)
  }

  #logChange ({ endpoint, isUnresponsive }: ResponsivenessChange): void {
    const work = this.#board.totals(performance.now()).work.find(entry => entry.endpoint === endpoint)
    this.ports.telemetry.logStateChange(isUnresponsive ? 'endpoint-unresponsive' : 'endpoint-responds', {
      endpoint, inFlight: work?.inFlight ?? 0, lastByteAgoMs: Math.round(work?.lastByteAgoMs ?? -1), avoiders: work?.avoiders ?? 0
    })
  }
}
