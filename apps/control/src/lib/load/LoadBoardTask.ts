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
import { NO_ENDPOINT_LOAD, type EndpointLoad, type LoadReport } from '@eelgrassmux/routing/load/loadReport'
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
  /**
   * Starts or stops to follow the endpoint list, which is read only while somebody follows it. Entry hosts follow it at
   * the control hosts near them, so nobody may follow it at the leader, and all endpoints would be unknown here.
   */
  followEndpoints? (isFollowing: boolean): void
  /** Returns the current endpoints of the site. */
  endpoints (): readonly ListedEndpoint[]
  /** @returns the service with the given name, or undefined if the site does not define it */
  service (name: string): ReplicatedService | undefined
  readonly telemetry: Telemetry
}

/** Load at endpoints, by incarnation. */
export type LoadAdditions = ReadonlyMap<string, Pick<EndpointLoad, 'inFlight' | 'heldTokens' | 'pendingTokens'>>

const NO_ADDITIONS: LoadAdditions = new Map()

/** Aggregates load reports while hosts send them. */
export class LoadBoardTask {
  readonly #board = new LoadAggregator()
  readonly #silentEndpoints = new UnresponsiveEndpointDetector()
  #encoded: { readonly totals: AggregatedLoad, readonly bytes: Uint8Array } | undefined
  #timer: NodeJS.Timeout | undefined
  #onReport: (report: LoadReport, now: number) => void = () => {}
  #additions: () => LoadAdditions = () => NO_ADDITIONS

  /** @param ports - dependencies */
  constructor (private readonly ports: LoadBoardPorts) {
    ports.telemetry.gauge('endpoints_unresponsive', 'Endpoints that answer neither hosts nor this control host', () => this.#silentEndpoints.unresponsive.length)
  }

  /** @param datagrams - datagram server on which to register the methods */
  register (datagrams: DatagramServer): void {
    datagrams.handle(sendLoadReport, report => {
      this.#observe(report)
      return undefined
    })
    datagrams.handle(exchangeLoadReport, report => {
      this.#observe(report)
      return this.#totalsFor(report.host)
    })
  }

  /** Load reports as they arrive. */
  get reports (): Pick<LoadAggregator, 'latestReports' | 'reportedForMs' | 'unresponsive'> { return this.#board }

  /**
   * @param onReport - called with each report that is the latest of its host, and monotonic milliseconds
   * @param additions - returns load that hosts don't report yet, to be included in the totals
   */
  extend (onReport: (report: LoadReport, now: number) => void, additions: () => LoadAdditions): void {
    this.#onReport = onReport
    this.#additions = additions
  }

  /** Stops the checks. */
  stop (): void {
    if (this.#timer === undefined) return
    clearInterval(this.#timer)
    this.#timer = undefined
    this.ports.followEndpoints?.(false)
  }

  #observe (report: LoadReport): void {
    const now = performance.now()
    if (this.#board.observe(report, now)) this.#onReport(report, now)
    this.#startChecks()
  }

  #totalsFor (host: string): Uint8Array | undefined {
    const totals = this.#board.totals(performance.now())
    const sequence = totals.sequences.get(host)
    // A host that is not in the totals yet receives them with its next report.
    if (sequence === undefined) return undefined
    if (this.#encoded?.totals !== totals) this.#encoded = { totals, bytes: encodeLoadTotals(withAdditions(totals, this.#additions())) }
    return frameLoadTotals(sequence, this.#encoded.bytes)
  }

  /** Starts the checks when a report arrives. Hosts report only to the leader, so other replicas run no checks. */
  #startChecks (): void {
    if (this.ports.probe === undefined || this.#timer !== undefined) return
    this.#timer = setInterval(() => { this.#checkSilence() }, SILENCE_CHECK_INTERVAL_MS)
    this.ports.followEndpoints?.(true)
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

/** Returns totals that include further load. The detector of silent endpoints doesn't see it, since nothing may have been sent yet. */
function withAdditions (totals: AggregatedLoad, additions: LoadAdditions): AggregatedLoad {
  if (additions.size === 0) return totals
  const work = new Map(totals.work.map(entry => [entry.endpoint, entry]))
  for (const [endpoint, { inFlight, heldTokens, pendingTokens }] of additions) {
    const entry = work.get(endpoint) ?? { ...NO_ENDPOINT_LOAD, endpoint }
    work.set(endpoint, {
      ...entry, inFlight: entry.inFlight + inFlight, heldTokens: entry.heldTokens + heldTokens, pendingTokens: entry.pendingTokens + pendingTokens
    })
  }
  return { ...totals, work: [...work.values()] }
}
