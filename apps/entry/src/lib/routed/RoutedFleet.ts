/** The endpoints of routed requests, with the state and the connections that this host keeps for each. */
import { TransitBytes } from '@eelgrassmux/routing/admission/TransitBytes'
import { chooseEndpoint } from '@eelgrassmux/routing/endpoints/chooseEndpoint'
import { BrittleEndpointLimiter } from '@eelgrassmux/routing/endpoints/BrittleEndpointLimiter'
import { ColdEndpointLimiter } from '@eelgrassmux/routing/endpoints/ColdEndpointLimiter'
import { SharedRateLimiter } from '@eelgrassmux/routing/endpoints/SharedRateLimiter'
import type { EndpointQuery, EndpointChoice, NoEndpointReason } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { EngineModel } from '@eelgrassmux/routing/endpoints/EngineModel'
import { isUnresponsive } from '@eelgrassmux/routing/endpoints/sharedObservations'
import { USUAL_PACE } from '@eelgrassmux/routing/endpoints/MachinePace'
import { EndpointPool } from '@eelgrassmux/routing/endpoints/EndpointPool'
import type { Slowness } from '@eelgrassmux/routing/endpoints/Slowness'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { EjectionTracker, type EjectionChange } from '@eelgrassmux/routing/endpoints/EjectionTracker'
import { LoadFeatures } from '@eelgrassmux/routing/features/LoadFeatures'
import { StreamPaceModel } from '@eelgrassmux/routing/endpoints/StreamPaceModel'
import type { LoadFigures } from '@eelgrassmux/routing/load/loadReport'
import type { HostLoad, PeerLoad } from '@eelgrassmux/routing/load/PeerLoad'
import { composeMechanisms, type RoutingMechanisms } from '@eelgrassmux/routing/mechanisms/mechanisms'
import { PromptResidencyTracker } from '@eelgrassmux/routing/prompts/PromptResidencyTracker'
import type { LinkSpeedChange } from '@eelgrassmux/routing/stores/LinkSpeeds'
import type { StoreLinks } from '@eelgrassmux/routing/stores/StoreLinks'
import { StoredPartsIndex } from '@eelgrassmux/routing/stores/StoredPartsIndex'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { ServiceLinks } from '../relays/ServiceLinks.js'
import { EndpointLimits } from './EndpointLimits.js'
import { EndpointConnections } from './EndpointConnections.js'
import { PlainPlaces } from './PlainPlaces.js'
import { ReadSlices } from './ReadSlices.js'
import { responseMemoryBounds } from './ResponseMemory.js'
import { SilentConnections } from './SilentConnections.js'
import { TrafficBetweenDataCentres } from './TrafficBetweenDataCentres.js'

/** Most connections of this host to one endpoint of a service that states no limit. */
const DEFAULT_MAX_CONNECTIONS = 64

/** Lowest connection limit of a host per endpoint, however many hosts share the service's limit. */
const MIN_CONNECTIONS = 2

/** Bucket bounds from a tenth of a usual first event time to several times of it. */
const ESTIMATE_ERROR_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6]

/** Fewest recent outcomes at an endpoint that are worth reporting to other hosts; the count decays, so it is not an integer. */
const MIN_REPORTED_OUTCOMES = 0.5

/** Share of an endpoint's connection limit that the live hosts divide among themselves; the rest covers hosts that are just stopping or starting. */
const PLANNED_CONNECTION_SHARE = 0.9

/** Interval at which ejected endpoints are determined, in milliseconds. The result is only logged and counted. */
const EJECTION_CHECK_INTERVAL_MS = 250

/** How this host's load on endpoints changed. */
export type WorkChange =
  /** The load grew; other hosts need to know before they place requests. */
  | 'sent'
  /** The load shrank. */
  | 'eased'

/** Follows the endpoint list, chooses endpoints for requests, and keeps connections to them. */
export class RoutedFleet {
  readonly #pool: EndpointPool
  readonly promptMemory = new PromptResidencyTracker()
  readonly limits: EndpointLimits
  readonly otherHostsLoad: PeerLoad
  readonly storedParts = new StoredPartsIndex()
  /** Places at endpoints of plain services. */
  readonly plainPlaces = new PlainPlaces()
  readonly storeLinks: StoreLinks
  readonly traffic: TrafficBetweenDataCentres
  /** Bytes of requests that are in transit to endpoints. */
  readonly transit = new TransitBytes()
  /** Links of this host to the services. */
  readonly links: ServiceLinks
  readonly silentConnections: SilentConnections
  /** Slices of the event loop for the responses of endpoints. */
  readonly readSlices: ReadSlices
  readonly #connections = new Map<string, EndpointConnections>()
  readonly #routeSlowness = new Map<string, Slowness>()
  readonly #engineModels = new Map<string, EngineModel>()
  readonly #streamPaceModels = new Map<string, StreamPaceModel>()
  readonly #openedConnections: LabelledCounter
  readonly #learntTransitBounds: LabelledCounter
  readonly #streamPauses: LabelledCounter
  readonly #ejections = new EjectionTracker()
  readonly #observeEstimateError: (milliseconds: number) => void
  #workListener: (change: WorkChange, service: string) => void = () => {}
  #plainServices: ReadonlySet<string> = new Set()
  #ejectionsCheckedAt = Number.NEGATIVE_INFINITY

  /**
   * @param dataCentre - data centre of this host
   * @param liveHosts - returns how many entry hosts may be alive now
   * @param telemetry - log and metrics
   * @param mechanisms - routing mechanisms to use
   * @param host - unique name of this host
   * @param features - features for hard load that are in use
   * @param responseBytes - most bytes of responses that may have arrived without being read
   */
  constructor (
    private readonly dataCentre: string,
    private readonly liveHosts: () => number,
    private readonly telemetry: Telemetry,
    readonly mechanisms: RoutingMechanisms = composeMechanisms(),
    host = '',
    readonly features = new LoadFeatures(),
    responseBytes = responseMemoryBounds(0).totalBytes
  ) {
    this.#pool = new EndpointPool(mechanisms.createSlownessEstimator)
    this.limits = new EndpointLimits(new ColdEndpointLimiter(host, liveHosts), new SharedRateLimiter(host, liveHosts), new BrittleEndpointLimiter(host, liveHosts), endpoint => this.occupancyOf(endpoint), () => this.#pool.all, telemetry)
    this.otherHostsLoad = mechanisms.peerLoad
    this.storeLinks = mechanisms.createStoreLinks(liveHosts)
    this.traffic = new TrafficBetweenDataCentres(dataCentre, features, telemetry)
    this.links = new ServiceLinks(this, telemetry)
    this.silentConnections = new SilentConnections(this, telemetry)
    this.readSlices = new ReadSlices(telemetry, responseBytes)
    this.#openedConnections = telemetry.labelledCounter('endpoint_connections_total', 'Connections opened to endpoints by service', 'service')
    this.#learntTransitBounds = telemetry.labelledCounter('transit_bounds_learnt_total', 'Bounds learnt on the bytes in transit to an endpoint by service', 'service')
    this.#streamPauses = telemetry.labelledCounter('stream_pauses_total', 'Pauses between events of streams whose pauses are limited', 'outcome')
    this.#observeEstimateError = telemetry.durationHistogram('first_event_error_seconds', 'By how much first events came before or after their estimate', ESTIMATE_ERROR_BUCKETS_SECONDS)
    telemetry.gauge('endpoints_known', 'Endpoints that the platform lists', () => this.#pool.all.length)
    telemetry.gauge('endpoints_off_usual_pace', 'Endpoints that have just stated another pace of their machine than the usual one', () => this.#endpointsOffUsualPace)
    telemetry.gauge('stored_parts', 'Prompt parts that stores are known to hold', () => this.storedParts.size)
    telemetry.gauge('endpoints_ejected', 'Endpoints without new work because of what all hosts have seen', () => this.#ejections.size)
    telemetry.gauge('endpoints_paused', 'Endpoints without new work because of what requests to them showed', () => {
      const now = performance.now()
      return this.#pool.all.filter(endpoint => endpoint.health.isPaused(now)).length
    })
  }

  /**
   * @param route - route name
   * @returns how much slower the route's first events are than estimated
   */
  routeSlowness (route: string): Slowness {
    const present = this.#routeSlowness.get(route)
    if (present !== undefined) return present
    const fresh = this.mechanisms.createSlownessEstimator()
    this.#routeSlowness.set(route, fresh)
    return fresh
  }

  /**
   * @param service - name of a service with engines
   * @returns the timing model of its engines
   */
  engineModel (service: string): EngineModel {
    const present = this.#engineModels.get(service)
    if (present !== undefined) return present
    const fresh = this.mechanisms.createEngineModel()
    this.#engineModels.set(service, fresh)
    return fresh
  }

  /**
   * @param service - name of a service with engines
   * @returns the model of the pauses between the events of its streams
   */
  streamPaceModel (service: string): StreamPaceModel {
    const present = this.#streamPaceModels.get(service)
    if (present !== undefined) return present
    const fresh = new StreamPaceModel()
    this.#streamPaceModels.set(service, fresh)
    return fresh
  }

  /** @param outcome - whether a pause between two events of a stream was within its limit */
  countPause (outcome: 'in-time' | 'late'): void {
    this.#streamPauses.count(outcome)
  }

  /**
   * Records the error of an estimate in a histogram.
   *
   * @param estimatedMs - time to the first event, as estimated when the endpoint was chosen
   * @param actualMs - actual time to the first event
   */
  recordEstimateError (estimatedMs: number, actualMs: number): void {
    this.#observeEstimateError(Math.abs(actualMs - estimatedMs))
  }

  /** Whether the load of the other hosts is known recently enough to refuse requests by estimate. */
  get isLoadKnown (): boolean { return this.otherHostsLoad.isRecent(performance.now()) }
  get #endpointsOffUsualPace (): number {
    const now = performance.now()
    return this.#pool.all.filter(endpoint => endpoint.machinePace(now, this.otherHostsLoad.paceOf(endpoint.incarnation)) !== USUAL_PACE).length
  }

  /** Whether any endpoint is known. */
  get hasEndpoints (): boolean { return this.#pool.all.length > 0 }

  /** @param listed - the platform's endpoint list, as last read */
  update (listed: readonly ListedEndpoint[]): void {
    for (const gone of this.#pool.update(listed)) {
      this.#connections.get(gone.incarnation)?.closeIdle()
      this.#connections.delete(gone.incarnation)
      this.#ejections.forget(gone.incarnation)
      this.plainPlaces.forget(gone.incarnation)
    }
  }

  /** @param site - site configuration to apply */
  configure (site: Site): void {
    this.#plainServices = new Set(site.services.filter(service => service.type === 'replicated' && service.engine === undefined).map(({ name }) => name))
    this.limits.configure(site)
    this.links.configure(site)
    this.plainPlaces.configure(site)
    this.storedParts.configure(site.services.filter(service => service.type === 'store'))
  }

  /** Applies what other hosts have reported since the last call. Call this after each load exchange. */
  applyObservations (): void {
    const now = performance.now()
    for (const change of this.storeLinks.observePeers(this.otherHostsLoad.links, now)) this.#logLink(change)
    this.limits.applyStatements(this.otherHostsLoad, this.otherHostsLoad.statementsAsOf)
    this.links.probeUnheard()
    if (now - this.#ejectionsCheckedAt < EJECTION_CHECK_INTERVAL_MS) return
    this.#ejectionsCheckedAt = now
    for (const service of this.#pool.services) {
      for (const change of this.#ejections.detectChanges(this.#pool.ofService(service), this.otherHostsLoad, now)) this.#logEjection(change)
    }
  }

  #logLink ({ link, isSlow, slowerBy, samples }: LinkSpeedChange): void {
    this.telemetry.logStateChange(isSlow ? 'store-link-slow' : 'store-link-sound', {
      link, slowerBy: Number(slowerBy.toFixed(2)), samples: Number(samples.toFixed(1))
    })
  }

  #logEjection ({ endpoint, reason, others, failureShare, meanShare }: EjectionChange): void {
    const { inFlight, lastByteAgoMs, waitedMs, avoiders } = others
    this.telemetry.logStateChange(reason === undefined ? 'endpoint-readmitted' : 'endpoint-ejected', {
      endpoint: endpoint.id,
      address: endpoint.listed.address,
      reason: reason ?? '',
      othersInFlight: inFlight,
      lastByteAgoMs,
      waitedMs,
      avoiders,
      failureShare: Number(failureShare.toFixed(2)),
      meanShare: Number(meanShare.toFixed(2))
    })
  }

  /**
   * @param service - service name
   * @returns the service's endpoints
   */
  endpointsOf (service: string): readonly EndpointState[] {
    return this.#pool.ofService(service)
  }

  /**
   * Chooses an endpoint of a service.
   *
   * @param service - service name
   * @param ask - requirements of the request
   * @returns the chosen endpoint, or why there is none
   */
  choose (service: string, ask: Pick<EndpointQuery, 'excluded' | 'prompt' | 'regionBound' | 'traffic' | 'requiredSoftware' | 'avoidedSoftware'>): EndpointChoice | NoEndpointReason {
    const now = performance.now()
    const others = this.otherHostsLoad.isRecent(now) ? this.otherHostsLoad : undefined
    const hasConnection = (endpoint: EndpointState): boolean => this.#connections.get(endpoint.incarnation)?.hasIdle === true
    return chooseEndpoint(this.#pool.ofService(service), {
      ...ask,
      dataCentre: this.dataCentre,
      others,
      hasConnection,
      evacuated: this.limits.evacuated,
      holdBackReason: endpoint => this.limits.hold(endpoint, now)?.reason,
      homeEndpoint: this.mechanisms.homeEndpoint,
      usesMachinePace: this.features.isEnabled('machine-pace'),
      ...(this.features.isEnabled('stream-pace') ? { streamPace: this.streamPaceModel(service) } : {})
    }, this.promptMemory, now, Math.random())
  }

  /**
   * @param endpoint - endpoint of a plain service
   * @returns requests of all hosts there, or those that the endpoint stated last while the load of the other hosts is not known
   */
  occupancyOf (endpoint: EndpointState): number {
    const now = performance.now()
    if (!this.otherHostsLoad.isRecent(now)) return endpoint.occupancy(now).total
    return endpoint.inFlight + this.otherHostsLoad.forEndpoint(endpoint.incarnation).inFlight
  }

  /**
   * @param service - name of a plain service
   * @returns ids of its endpoints that have no free place
   */
  fullEndpoints (service: string): readonly string[] {
    const now = performance.now()
    return this.#pool.ofService(service).filter(endpoint => !this.plainPlaces.hasPlace(endpoint, this.occupancyOf(endpoint), now)).map(({ id }) => id)
  }

  /**
   * Learns from a request that an endpoint has rejected, or whose connection broke before the answer. To be called while the request still counts as in transit.
   *
   * @param endpoint - endpoint that the request was sent to
   */
  observeTransitFailure ({ id, incarnation, listed: { service } }: EndpointState): void {
    if (!this.features.isEnabled('slow-readers')) return
    const bytesUnderWay = this.transit.bytesTo(incarnation)
    const boundBytes = this.transit.observeFailure(service, incarnation, performance.now())
    if (boundBytes === undefined) return
    this.#learntTransitBounds.count(service)
    this.telemetry.logStateChange('transit-bound-learnt', { endpoint: id, service, bytesUnderWay, boundBytes: Math.round(boundBytes) })
  }

  /**
   * @param service - service name
   * @param bytes - size of a request
   * @returns ids of its endpoints to which too many bytes are in transit for another request of that size
   */
  endpointsBeyondTransitBound (service: string, bytes: number): readonly string[] {
    if (!this.features.isEnabled('slow-readers')) return []
    const now = performance.now()
    if (this.transit.boundOf(service, now) === Number.POSITIVE_INFINITY) return []
    return this.#pool.ofService(service).filter(({ incarnation }) => !this.transit.admits(service, incarnation, bytes, now)).map(({ id }) => id)
  }

  /**
   * @param service - service name
   * @returns whether the site describes it as one without engines
   */
  isPlain (service: string): boolean {
    return this.#plainServices.has(service)
  }

  /**
   * @param service - service name
   * @param excluded - ids of endpoints that the request can't use
   * @param at - when endpoints were held back, in monotonic milliseconds
   * @returns when the first of them may get a request from this host, in monotonic milliseconds; infinity if none was held back
   */
  firstReleaseAt (service: string, excluded: ReadonlySet<string>, at: number): number {
    return this.limits.firstReleaseAt(this.#pool.ofService(service).filter(endpoint => !endpoint.isLeaving && !excluded.has(endpoint.id)), at)
  }

  /**
   * @param endpoint - endpoint with pending requests of this host
   * @returns whether it is known to have stopped responding to all hosts
   */
  isSilent (endpoint: EndpointState): boolean {
    const now = performance.now()
    return endpoint.isSilent(now) || (this.otherHostsLoad.isRecent(now) && isUnresponsive(endpoint, this.otherHostsLoad.forEndpoint(endpoint.incarnation), now))
  }

  /** @param listener - called on each change of this host's load on endpoints */
  onWorkChange (listener: (change: WorkChange, service: string) => void): void {
    this.#workListener = listener
  }

  /**
   * @param change - how this host's load on endpoints changed
   * @param service - service of the endpoint
   */
  noteWork (change: WorkChange, service: string): void {
    this.#workListener(change, service)
  }

  /** @returns this host's load on links, and on each endpoint with load or with observations to report */
  ownWork (): HostLoad {
    const now = performance.now()
    const work = this.#pool.all.filter(endpoint => endpoint.hasAnythingToReport(now))
      .map(endpoint => ({ endpoint: endpoint.incarnation, ...endpoint.work(now), ...this.#ownFailures(endpoint) }))
      .filter(({ inFlight, avoiders, outcomes }) => inFlight > 0 || avoiders > 0 || outcomes >= MIN_REPORTED_OUTCOMES)
    return { work, links: this.storeLinks.localLoad(now), ...this.limits.ownStatements(now), ...this.#ownPaces(now), ...this.#ownStreams() }
  }

  /** Hides failures from the other hosts that are due to the links of this host. */
  #ownFailures ({ listed: { service } }: EndpointState): Partial<LoadFigures> {
    return this.links.isCutOff(service) ? { avoiders: 0, outcomes: 0, failures: 0 } : {}
  }

  /** Returns what engines have stated about their machines, for the other hosts; nothing while the feature is off. */
  #ownPaces (now: number): Pick<HostLoad, 'paces'> {
    if (!this.features.isEnabled('machine-pace')) return {}
    const paces = this.#pool.all.flatMap(endpoint => {
      const statement = endpoint.paceStatements.reportable(this.otherHostsLoad.paceOf(endpoint.incarnation), now)
      return statement === undefined ? [] : [{ endpoint: endpoint.incarnation, factor: statement.factor, statedAgoMs: now - statement.statedAt }]
    })
    return paces.length === 0 ? {} : { paces }
  }

  /** Returns the running streams with a limited pause; nothing while the feature is off. */
  #ownStreams (): Pick<HostLoad, 'streams'> {
    if (!this.features.isEnabled('stream-pace')) return {}
    const streams = this.#pool.all.flatMap(endpoint => {
      const { limits } = endpoint.runningStreams
      return limits.streams === 0 ? [] : [{ endpoint: endpoint.incarnation, ...limits }]
    })
    return streams.length === 0 ? {} : { streams }
  }

  /**
   * @param endpoint - endpoint that was chosen
   * @returns this host's connections to it
   */
  connectionsTo (endpoint: EndpointState): EndpointConnections {
    const present = this.#connections.get(endpoint.incarnation)
    if (present !== undefined) return present
    const { address, service } = endpoint.listed
    const connections = new EndpointConnections(
      address, () => { this.#openedConnections.count(service) }, milliseconds => { this.traffic.observeConnection(endpoint, milliseconds) }, this.readSlices
    )
    this.#connections.set(endpoint.incarnation, connections)
    return connections
  }

  /** @param endpoint - endpoint that has just sent this host a byte */
  observeBytes (endpoint: EndpointState): void {
    endpoint.observeBytes(performance.now())
    this.links.observeBytes(endpoint)
  }

  /** @param endpoint - endpoint whose idle connections are not to be used again */
  closeIdleConnectionsTo ({ incarnation }: EndpointState): void {
    this.#connections.get(incarnation)?.closeIdle()
  }

  /**
   * @param connectionsPerEndpoint - the service's limit over all hosts; 0 if it states none
   * @returns this host's share of the limit
   */
  connectionLimit (connectionsPerEndpoint: number): number {
    if (connectionsPerEndpoint === 0) return DEFAULT_MAX_CONNECTIONS
    return Math.max(MIN_CONNECTIONS, Math.floor(connectionsPerEndpoint * PLANNED_CONNECTION_SHARE / this.liveHosts()))
  }

  /**
   * Updates the health of an endpoint with the outcome of a request.
   *
   * @param endpoint - endpoint that the request was sent to
   * @param outcome - how the request ended there
   */
  recordOutcome (endpoint: EndpointState, outcome: 'success' | 'failure' | 'unreachable' | 'unanswered'): void {
    const peers = this.#pool.ofService(endpoint.listed.service).filter(peer => peer !== endpoint)
    const peersShare = peers.reduce((sum, peer) => sum + peer.health.failureShare, 0) / Math.max(1, peers.length)
    if (!endpoint.health.observe(outcome, performance.now(), peersShare)) return
    // An idle connection to an endpoint that is no longer reachable would lose one more request.
    if (endpoint.health.isUnreachable(performance.now())) this.#connections.get(endpoint.incarnation)?.closeIdle()
    this.telemetry.logStateChange('endpoint-paused', {
      endpoint: endpoint.id, address: endpoint.listed.address, outcome, failureShare: Number(endpoint.health.failureShare.toFixed(2)), peersShare: Number(peersShare.toFixed(2))
    })
  }
}
