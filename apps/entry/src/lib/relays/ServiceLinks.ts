/** The links of this host to the services, and probes of those that are partitioned. */
import { ServiceReachability } from '@eelgrassmux/routing/reachability/ServiceReachability'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { RoutedFleet } from '../routed/RoutedFleet.js'
import { LinkProbes } from './LinkProbes.js'

/** Interval at which a service is checked at most, in milliseconds. */
const CHECK_INTERVAL_MS = 50

/** Number of endpoints of a service that a host probes once after its start: as many as have to be lost for a cut. */
const FIRST_PROBES = 2

/** Age of the last lost connection up to which new connections are looked at, in milliseconds. */
const MAX_FAILURE_AGE_MS = 3000

/** Age of a byte that any host has received from a service up to which its endpoints count as well, in milliseconds. */
const WELL_AFTER_BYTE_MS = 3000

interface ServiceLink {
  readonly reachability: ServiceReachability
  /** Whether new connections reach the service; those that are open may go on working while new ones fail. */
  readonly newConnections: ServiceReachability
  /** When a new connection was last lost before it brought a response, in monotonic milliseconds. */
  newConnectionLostAt: number
  checkedAt: number
}

/** Tells whether requests go to the endpoints of a service or to other hosts. */
export class ServiceLinks {
  readonly #links = new Map<string, ServiceLink>()
  readonly #probes: LinkProbes
  /** Services that this host has not heard from, with their health paths. */
  #unheard = new Map<string, string>()
  readonly #probed = new Set<string>()
  #cutOffCount = 0

  /**
   * @param fleet - endpoints, and connections to them
   * @param telemetry - log and metrics
   */
  constructor (private readonly fleet: Pick<RoutedFleet, 'endpointsOf' | 'otherHostsLoad' | 'connectionsTo' | 'connectionLimit' | 'observeBytes' | 'closeIdleConnectionsTo'>, private readonly telemetry: Telemetry) {
    this.#probes = new LinkProbes(fleet, {
      answered: endpoint => {
        fleet.observeBytes(endpoint)
        this.observeNewConnection(endpoint)
      },
      lost: endpoint => {
        endpoint.contact.observeFailure(performance.now())
        this.observeLostNewConnection(endpoint)
      }
    })
    telemetry.gauge('services_cut_off', 'Services whose endpoints other hosts reach and this one does not', () => this.#cutOffCount)
  }

  /** @param site - site in force */
  configure (site: Site): void {
    this.#unheard = new Map(site.services.flatMap(service => service.type === 'replicated' ? [[service.name, service.healthPath]] : []))
  }

  /**
   * Probes services that other hosts hear from and this one has not heard from since its start. A host that
   * starts while it is cut off has no answer to miss, and would lose its first requests. Call this after each load exchange.
   */
  probeUnheard (): void {
    const now = performance.now()
    for (const [service, healthPath] of this.#unheard) {
      if (this.fleet.endpointsOf(service).some(endpoint => endpoint.contact.heardAgoMs(now) < Number.POSITIVE_INFINITY)) this.#unheard.delete(service)
      else if (!this.#probed.has(service) && this.isHeardByAnyHost(service)) {
        this.#probed.add(service)
        this.#probeHeardByOthers(service, healthPath, now)
      }
    }
  }

  /**
   * @param service - service name
   * @returns whether its endpoints are out of this host's reach
   */
  isCutOff (service: string): boolean {
    return this.#cutOffCount > 0 && this.#links.get(service)?.reachability.isCutOff === true
  }

  /**
   * Looks for a cut, and decides where a request goes.
   *
   * @param service - service name
   * @param healthPath - path at which its endpoints answer probes
   * @param isLagging - whether this process was blocked, so that answers may not have been read yet
   * @returns whether the request goes to the endpoints; otherwise to another host
   */
  admitsDirect (service: string, healthPath: string, isLagging: boolean): boolean {
    const now = performance.now()
    const link = this.#linkTo(service)
    if (!isLagging && now - link.checkedAt >= CHECK_INTERVAL_MS) this.#check(service, link, now)
    if (link.reachability.takeDueProbe(now) || link.newConnections.takeDueProbe(now)) this.#probe(service, healthPath)
    return link.reachability.admitsDirect(now, Math.random())
  }

  /**
   * @param service - service name
   * @returns whether a request that needs a new connection goes to the endpoints; otherwise to another host
   */
  admitsNewConnection (service: string): boolean {
    return this.#links.get(service)?.newConnections.admitsDirect(performance.now(), Math.random()) !== false
  }

  /**
   * @param service - service name
   * @returns whether any host has heard from its endpoints lately, as far as is known
   */
  isHeardByAnyHost (service: string): boolean {
    const now = performance.now()
    // The age includes that of the report, which is older than usual while no control host leads.
    return this.fleet.endpointsOf(service).some(({ incarnation }) => this.fleet.otherHostsLoad.heardAgoMs(incarnation, now) < WELL_AFTER_BYTE_MS)
  }

  /** @param endpoint - endpoint that has just sent a byte */
  observeBytes ({ listed: { service } }: EndpointState): void {
    if (this.#cutOffCount === 0) return
    const cutForMs = this.#links.get(service)?.reachability.observeBytes(performance.now())
    if (cutForMs === undefined) return
    this.#cutOffCount -= 1
    this.telemetry.logStateChange('service-in-reach', { service, cutForMs: Math.round(cutForMs) })
  }

  /** @param endpoint - endpoint that has just sent the first head over a connection */
  observeNewConnection (endpoint: EndpointState): void {
    const now = performance.now()
    endpoint.newConnections.observeBytes(now)
    const { service } = endpoint.listed
    const failedForMs = this.#links.get(service)?.newConnections.observeBytes(now)
    if (failedForMs !== undefined) this.telemetry.logStateChange('new-connections-work', { service, failedForMs: Math.round(failedForMs) })
  }

  /** @param endpoint - endpoint to which a connection was lost that had brought no response */
  observeLostNewConnection (endpoint: EndpointState): void {
    const now = performance.now()
    endpoint.newConnections.observeFailure(now)
    this.#linkTo(endpoint.listed.service).newConnectionLostAt = now
  }

  #linkTo (service: string): ServiceLink {
    const present = this.#links.get(service)
    if (present !== undefined) return present
    const fresh = { reachability: new ServiceReachability(), newConnections: new ServiceReachability(), newConnectionLostAt: Number.NEGATIVE_INFINITY, checkedAt: Number.NEGATIVE_INFINITY }
    this.#links.set(service, fresh)
    return fresh
  }

  #check (service: string, link: ServiceLink, now: number): void {
    link.checkedAt = now
    const { otherHostsLoad } = this.fleet
    if (link.reachability.isCutOff || !otherHostsLoad.isRecent(now)) return
    this.#checkNewConnections(service, link, now)
    const endpoints = this.#stayingEndpoints(service)
    const evidence = link.reachability.check(endpoints.map(endpoint => ({
      heardAgoMs: endpoint.lastByteAgoMs(now),
      failedAgoMs: endpoint.contact.failedAgoMs(now),
      failingForMs: endpoint.contact.failingForMs(now),
      unansweredMs: endpoint.unansweredMs(now),
      unansweredProbeMs: this.#probes.unansweredMs(endpoint, now),
      heardByAnyAgoMs: otherHostsLoad.heardAgoMs(endpoint.incarnation, now)
    })), now)
    if (evidence === undefined) return
    this.#cutOffCount += 1
    // Connections from before the cut may hang when the links recover.
    for (const endpoint of endpoints) this.fleet.closeIdleConnectionsTo(endpoint)
    this.telemetry.logStateChange('service-out-of-reach', { service, endpoints: endpoints.length, ...evidence, heardAgoMs: Math.round(evidence.heardAgoMs) })
  }

  /** Finds a service whose endpoints answer over old connections and lose the new ones of this host only. */
  #checkNewConnections (service: string, { newConnections, newConnectionLostAt }: ServiceLink, now: number): void {
    if (now - newConnectionLostAt > MAX_FAILURE_AGE_MS) return
    const endpoints = this.#stayingEndpoints(service)
    const evidence = newConnections.check(endpoints.map(endpoint => ({
      heardAgoMs: endpoint.newConnections.heardAgoMs(now),
      failedAgoMs: endpoint.newConnections.failedAgoMs(now),
      failingForMs: endpoint.newConnections.failingForMs(now),
      unansweredMs: 0,
      unansweredProbeMs: 0,
      heardByAnyAgoMs: Math.min(endpoint.lastByteAgoMs(now), this.fleet.otherHostsLoad.heardAgoMs(endpoint.incarnation, now))
    })), now)
    if (evidence === undefined) return
    const { lostEndpoints, heardByOthers } = evidence
    this.telemetry.logStateChange('new-connections-fail', { service, endpoints: endpoints.length, lostEndpoints, heardByOthers })
  }

  /** Asks a random endpoint for its health over a new connection; any answer shows that the links are back. */
  #probe (service: string, healthPath: string): void {
    const endpoints = this.#stayingEndpoints(service)
    const endpoint = endpoints[Math.floor(Math.random() * endpoints.length)]
    if (endpoint !== undefined) this.#probes.send(endpoint, healthPath)
  }

  /** Probes the endpoints that other hosts have heard from last, since their silence is no fault of theirs. */
  #probeHeardByOthers (service: string, healthPath: string, now: number): void {
    const heardAgoMs = ({ incarnation }: EndpointState): number => this.fleet.otherHostsLoad.heardAgoMs(incarnation, now)
    const endpoints = this.#stayingEndpoints(service).sort((one, other) => heardAgoMs(one) - heardAgoMs(other))
    for (const endpoint of endpoints.slice(0, FIRST_PROBES)) this.#probes.send(endpoint, healthPath)
  }

  #stayingEndpoints (service: string): EndpointState[] {
    return this.fleet.endpointsOf(service).filter(({ isLeaving }) => !isLeaving)
  }
}
