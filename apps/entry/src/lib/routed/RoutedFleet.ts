/** Endpoints of routed requests: what is known of each, and this host's connections to it. */
import { chooseEndpoint } from '@eelgrassmux/routing/endpoints/chooseEndpoint'
import { ColdEndpointLimiter } from '@eelgrassmux/routing/endpoints/ColdEndpointLimiter'
import { SharedRateLimiter } from '@eelgrassmux/routing/endpoints/SharedRateLimiter'
import type { EndpointQuery, EndpointChoice, NoEndpointReason } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { EngineModel } from '@eelgrassmux/routing/endpoints/EngineModel'
import { isUnresponsive } from '@eelgrassmux/routing/endpoints/sharedObservations'
import { EndpointPool } from '@eelgrassmux/routing/endpoints/EndpointPool'
import type { Slowness } from '@eelgrassmux/routing/endpoints/Slowness'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { EjectionTracker, type EjectionChange } from '@eelgrassmux/routing/endpoints/EjectionTracker'
import type { HostLoad, PeerLoad } from '@eelgrassmux/routing/load/PeerLoad'
import { composeMechanisms, type RoutingMechanisms } from '@eelgrassmux/routing/mechanisms/mechanisms'
import { PromptResidencyTracker } from '@eelgrassmux/routing/prompts/PromptResidencyTracker'
import type { LinkSpeedChange } from '@eelgrassmux/routing/stores/LinkSpeeds'
import type { StoreLinks } from '@eelgrassmux/routing/stores/StoreLinks'
import { StoredPartsIndex } from '@eelgrassmux/routing/stores/StoredPartsIndex'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { EndpointLimits } from './EndpointLimits.js'
import { EndpointConnections } from './EndpointConnections.js'

/** Connections that a host may have at an endpoint that states no bound. */
const CONNECTIONS_WITHOUT_BOUND = 64

/** Fewest connections of a host to an endpoint, however many hosts share its bound. */
const LEAST_CONNECTIONS = 2

/** In seconds: a tenth to several times of what first events take. */
const ESTIMATE_ERROR_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6]

/** Outcomes of late that are worth telling other hosts. */
const LEAST_REPORTED_OUTCOMES = 0.5

/** Share of an endpoint's connections that hosts plan with; the rest covers hosts that are just leaving or starting. */
const PLANNED_SHARE = 0.9

/** Interval between looks at what turns this host away from endpoints, in milliseconds; they are for the log alone. */
const EJECTION_LOOK_MS = 250

/** How this host's work at endpoints changed. */
export type WorkChange =
  /** There is more: hosts that place requests now have to know. */
  | 'sent'
  /** There is less. */
  | 'eased'

/** Follows the list, chooses endpoints and keeps connections to them. */
export class RoutedFleet {
  readonly #pool: EndpointPool
  readonly memory = new PromptResidencyTracker()
  readonly limits: EndpointLimits
  readonly otherHostsLoad: PeerLoad
  readonly storedParts = new StoredPartsIndex()
  readonly storeLinks: StoreLinks
  readonly #connections = new Map<string, EndpointConnections>()
  readonly #routes = new Map<string, Slowness>()
  readonly #engines = new Map<string, EngineModel>()
  readonly #opened: LabelledCounter
  readonly #ejections = new EjectionTracker()
  readonly #estimateError: (milliseconds: number) => void
  #workListener: (change: WorkChange) => void = () => {}
  #ejectionsLookedAt = Number.NEGATIVE_INFINITY

  /**
   * @param dataCentre - where this host stands
   * @param liveHosts - entry hosts that may be alive, as of now
   * @param telemetry - log and metrics
   * @param mechanisms - that decide where requests go
   * @param host - name of this host, unlike those of all others
   */
  constructor (
    private readonly dataCentre: string,
    private readonly liveHosts: () => number,
    private readonly telemetry: Telemetry,
    readonly mechanisms: RoutingMechanisms = composeMechanisms(),
    host = ''
  ) {
    this.#pool = new EndpointPool(mechanisms.createSlownessEstimator)
    this.limits = new EndpointLimits(new ColdEndpointLimiter(host, liveHosts), new SharedRateLimiter(host, liveHosts), () => this.#pool.all, telemetry)
    this.otherHostsLoad = mechanisms.peerLoad
    this.storeLinks = mechanisms.createStoreLinks(liveHosts)
    this.#opened = telemetry.labelledCounter('endpoint_connections_total', 'Connections opened to endpoints by service', 'service')
    this.#estimateError = telemetry.durationHistogram('first_event_error_seconds', 'By how much first events came before or after their estimate', ESTIMATE_ERROR_BUCKETS)
    telemetry.gauge('endpoints_known', 'Endpoints that the platform lists', () => this.#pool.all.length)
    telemetry.gauge('stored_parts', 'Prompt parts that stores are known to hold', () => this.storedParts.size)
    telemetry.gauge('endpoints_ejected', 'Endpoints without new work because of what all hosts have seen', () => this.#ejections.size)
    telemetry.gauge('endpoints_paused', 'Endpoints without new work because of what requests to them showed', () => {
      const now = performance.now()
      return this.#pool.all.filter(endpoint => endpoint.health.isPaused(now)).length
    })
  }

  /**
   * @param route - route name
   * @returns how much slower its first events are than estimated
   */
  routeSlowness (route: string): Slowness {
    const present = this.#routes.get(route)
    if (present !== undefined) return present
    const fresh = this.mechanisms.createSlownessEstimator()
    this.#routes.set(route, fresh)
    return fresh
  }

  /**
   * @param service - name of a service of engines
   * @returns what its engines take
   */
  engineModel (service: string): EngineModel {
    const present = this.#engines.get(service)
    if (present !== undefined) return present
    const fresh = this.mechanisms.createEngineModel()
    this.#engines.set(service, fresh)
    return fresh
  }

  /**
   * Counts how far an estimate was off.
   *
   * @param estimatedMs - when the endpoint was chosen
   * @param actualMs - until the first event
   */
  noteEstimate (estimatedMs: number, actualMs: number): void {
    this.#estimateError(Math.abs(actualMs - estimatedMs))
  }

  /** Whether the work of other hosts is known, so that estimates may decide about refusals. */
  get isLoadKnown (): boolean { return this.otherHostsLoad.isRecent(performance.now()) }
  /** Whether any endpoint is known. */
  get hasEndpoints (): boolean { return this.#pool.all.length > 0 }

  /** @param listed - the platform's list as last read */
  update (listed: readonly ListedEndpoint[]): void {
    for (const gone of this.#pool.update(listed)) {
      this.#connections.get(gone.incarnation)?.closeIdle()
      this.#connections.delete(gone.incarnation)
      this.#ejections.forget(gone.incarnation)
    }
  }

  /** @param site - that is now in force */
  configure (site: Site): void {
    this.limits.configure(site)
    this.storedParts.configure(site.services.filter(service => service.type === 'store'))
  }

  /** Notes what other hosts have told since the last time; call when it was heard. */
  applyObservations (): void {
    const now = performance.now()
    for (const change of this.storeLinks.observePeers(this.otherHostsLoad.links, now)) this.#logLink(change)
    this.#noteLimits(now)
    if (now - this.#ejectionsLookedAt < EJECTION_LOOK_MS) return
    this.#ejectionsLookedAt = now
    for (const service of this.#pool.services) {
      for (const change of this.#ejections.detectChanges(this.#pool.ofService(service), this.otherHostsLoad, now)) this.#logEjection(change)
    }
  }

  #noteLimits (now: number): void {
    if (this.otherHostsLoad.limits.length === 0) return
    const stated = new Map(this.otherHostsLoad.limits.map(limit => [limit.endpoint, limit]))
    for (const endpoint of this.#pool.all) {
      const statement = stated.get(endpoint.incarnation)
      if (statement !== undefined) this.limits.observeStatement(endpoint, statement, now)
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
   * @returns its endpoints
   */
  endpointsOf (service: string): readonly EndpointState[] {
    return this.#pool.ofService(service)
  }

  /**
   * Chooses an endpoint of a service.
   *
   * @param service - service name
   * @param ask - what is asked
   */
  choose (service: string, ask: Pick<EndpointQuery, 'excluded' | 'prompt' | 'regionBound'>): EndpointChoice | NoEndpointReason {
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
      homeEndpoint: this.mechanisms.homeEndpoint
    }, this.memory, now, Math.random())
  }

  /**
   * @param service - service name
   * @param excluded - endpoints that can't be used again
   * @returns when the first endpoint that is held back may get a request of this host, in monotonic milliseconds
   */
  firstRelease (service: string, excluded: ReadonlySet<string>): number {
    return this.limits.firstRelease(this.#pool.ofService(service).filter(endpoint => !endpoint.isLeaving && !excluded.has(endpoint.id)), performance.now())
  }

  /**
   * @param endpoint - with work of this host
   * @returns whether it has fallen silent towards everybody, as far as is known
   */
  isSilent (endpoint: EndpointState): boolean {
    const now = performance.now()
    return endpoint.isSilent(now) || (this.otherHostsLoad.isRecent(now) && isUnresponsive(endpoint, this.otherHostsLoad.forEndpoint(endpoint.incarnation), now))
  }

  /** @param listener - told of each change of this host's work at endpoints */
  onWorkChange (listener: (change: WorkChange) => void): void {
    this.#workListener = listener
  }

  /** @param change - how work at endpoints changed */
  noteWork (change: WorkChange): void {
    this.#workListener(change)
  }

  /** @returns this host's work at each endpoint that has any, or of which there is something to tell, and on links */
  ownWork (): HostLoad {
    const now = performance.now()
    const work = this.#pool.all.filter(endpoint => endpoint.hasAnythingToReport(now))
      .map(endpoint => ({ endpoint: endpoint.incarnation, ...endpoint.work(now) }))
      .filter(({ inFlight, avoiders, outcomes }) => inFlight > 0 || avoiders > 0 || outcomes >= LEAST_REPORTED_OUTCOMES)
    return { work, links: this.storeLinks.localLoad(now), ...this.#ownLimits(now) }
  }

  #ownLimits (now: number): Pick<HostLoad, 'limits'> {
    const limits = this.#pool.all.flatMap(endpoint => {
      const statement = endpoint.rateLimit.statement(now)
      return statement === undefined ? [] : [{ endpoint: endpoint.incarnation, ...statement }]
    })
    return limits.length === 0 ? {} : { limits }
  }

  /**
   * @param endpoint - a chosen endpoint
   * @returns this host's connections to it
   */
  connectionsTo (endpoint: EndpointState): EndpointConnections {
    const present = this.#connections.get(endpoint.incarnation)
    if (present !== undefined) return present
    const { address, service } = endpoint.listed
    const connections = new EndpointConnections(address, () => { this.#opened.count(service) })
    this.#connections.set(endpoint.incarnation, connections)
    return connections
  }

  /**
   * @param connectionsPerEndpoint - bound of the service over all callers; 0 if it states none
   * @returns this host's part of it
   */
  connectionLimit (connectionsPerEndpoint: number): number {
    if (connectionsPerEndpoint === 0) return CONNECTIONS_WITHOUT_BOUND
    return Math.max(LEAST_CONNECTIONS, Math.floor(connectionsPerEndpoint * PLANNED_SHARE / this.liveHosts()))
  }

  /**
   * Takes the outcome of a request for what it says of the endpoint.
   *
   * @param endpoint - where it was sent
   * @param outcome - how it ended there
   */
  observe (endpoint: EndpointState, outcome: 'success' | 'failure' | 'unreachable' | 'unanswered'): void {
    const peers = this.#pool.ofService(endpoint.listed.service).filter(peer => peer !== endpoint)
    const peersShare = peers.reduce((sum, peer) => sum + peer.health.failureShare, 0) / Math.max(1, peers.length)
    if (!endpoint.health.observe(outcome, performance.now(), peersShare)) return
    // A connection to a host that is gone without a word would take one more request with it.
    if (endpoint.health.isUnreachable(performance.now())) this.#connections.get(endpoint.incarnation)?.closeIdle()
    this.telemetry.logStateChange('endpoint-paused', {
      endpoint: endpoint.id, address: endpoint.listed.address, outcome, failureShare: Number(endpoint.health.failureShare.toFixed(2)), peersShare: Number(peersShare.toFixed(2))
    })
  }
}
