/** Limits on new requests to endpoints, set by operators, services and the endpoints themselves: evacuated data centres, rate limits and pauses. */
import type { BrittleEndpointLimiter } from '@eelgrassmux/routing/endpoints/BrittleEndpointLimiter'
import type { ColdEndpointLimiter } from '@eelgrassmux/routing/endpoints/ColdEndpointLimiter'
import type { HoldBackReason } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { SharedRateLimiter } from '@eelgrassmux/routing/endpoints/SharedRateLimiter'
import type { EndpointBrittleness, EndpointRateLimit } from '@eelgrassmux/routing/load/loadReport'
import type { HostLoad, PeerLoad } from '@eelgrassmux/routing/load/PeerLoad'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { ResponseHead } from './RoutedAttempt.js'

/** Window of the number of recent sends that is logged with a limit, in milliseconds. */
const RECENT_SENDS_WINDOW_MS = 4000

/** Status of a response that may come from another instance at the endpoint's address. */
const MISDIRECTED = 421

/** Status of a rejection that may ask for a pause. */
const UNAVAILABLE = 503

/** Why and until when this host may not send requests to an endpoint. */
export interface EndpointHold {
  readonly reason: HoldBackReason
  /** Earliest time at which the endpoint may get a request from this host, in monotonic milliseconds. */
  readonly until: number
}

/** Tracks the limits from the site configuration, operators' evacuations and the responses of endpoints. */
export class EndpointLimits {
  readonly #coldRates = new Map<string, number>()
  #evacuated: ReadonlySet<string> = new Set()
  readonly #sendsDespiteLimit: LabelledCounter
  readonly #sendsDespitePause: LabelledCounter

  /**
   * @param coldAllowance - this host's share of the requests that cold endpoints accept
   * @param rateShare - this host's share of the rate limits that endpoints state
   * @param brittleShare - this host's share of the rejections that brittle endpoints bear
   * @param occupancyOf - returns the requests of all hosts at an endpoint, as far as is known
   * @param endpoints - returns all known endpoints
   * @param telemetry - log and metrics
   */
  constructor (
    private readonly coldAllowance: ColdEndpointLimiter,
    private readonly rateShare: SharedRateLimiter,
    private readonly brittleShare: BrittleEndpointLimiter,
    private readonly occupancyOf: (endpoint: EndpointState) => number,
    private readonly endpoints: () => readonly EndpointState[],
    private readonly telemetry: Telemetry
  ) {
    telemetry.gauge('endpoints_cold', 'Endpoints that take few requests a second for now, as far as is known', () => this.#countCold(performance.now()))
    telemetry.gauge('endpoints_rate_limited', 'Endpoints that name a rate of requests which they take from all hosts together', () => this.#countRateLimited())
    this.#sendsDespiteLimit = telemetry.labelledCounter('rate_limited_sends_total', 'Requests sent to endpoints that name a rate, by service', 'service')
    telemetry.gauge('endpoints_asked_to_pause', 'Endpoints that rejected a request and want nothing from this host for now', () => this.#countPausing(performance.now()))
    this.#sendsDespitePause = telemetry.labelledCounter('sends_despite_requested_pause_total', 'Requests sent to endpoints that want nothing for now, by service', 'service')
    telemetry.gauge('endpoints_brittle', 'Endpoints that fall over if they have to reject too many requests', () => this.endpoints().filter(({ brittleness }) => brittleness.rejectionsPerSecond !== undefined).length)
    telemetry.gauge('data_centres_evacuated', 'Data centres whose endpoints get no new work', () => this.#evacuated.size)
  }

  /** Data centres whose endpoints get no new requests. */
  get evacuated (): ReadonlySet<string> { return this.#evacuated }

  /** @param site - site configuration to apply */
  configure (site: Site): void {
    this.#coldRates.clear()
    for (const service of site.services) {
      if (service.type === 'replicated' && service.coldRequestsPerSecond !== undefined) this.#coldRates.set(service.name, service.coldRequestsPerSecond)
    }
  }

  /**
   * @param evacuated - complete set of data centres that are evacuated from now on
   * @param now - monotonic milliseconds
   */
  evacuate (evacuated: ReadonlySet<string>, now: number): void {
    const changed = [...new Set([...this.#evacuated, ...evacuated])].filter(name => evacuated.has(name) !== this.#evacuated.has(name))
    this.#evacuated = evacuated
    for (const dataCentre of changed) {
      const endpoints = this.endpoints().filter(endpoint => endpoint.listed.dataCentre === dataCentre)
      // Endpoints may restart during an evacuation, and the endpoint list shows it late.
      for (const endpoint of endpoints) endpoint.markUnavailable(now)
      const underWay = endpoints.reduce((sum, endpoint) => sum + endpoint.inFlight, 0)
      this.telemetry.logStateChange('evacuation-in-force', { dataCentre, isEvacuated: evacuated.has(dataCentre), endpoints: endpoints.length, underWay })
    }
  }

  /**
   * @param endpoint - endpoint that a request might be sent to
   * @param now - monotonic milliseconds
   * @returns why this host may not send it a request now, and until when at least; undefined if it may
   */
  hold (endpoint: EndpointState, now: number): EndpointHold | undefined {
    // It is not known when a cold endpoint will be warm, so no later time is returned.
    if (!this.#admitsCold(endpoint, now)) return { reason: 'cold', until: now }
    const pauseUntil = endpoint.requestedPause.pausedUntil(endpoint.sends.newest(1), now)
    if (pauseUntil !== undefined) return { reason: 'asked-to-pause', until: pauseUntil }
    const until = this.rateShare.heldBackUntil(endpoint, now)
    if (until !== undefined) return { reason: 'rate-limited', until }
    return this.#holdBrittle(endpoint, now)
  }

  #holdBrittle (endpoint: EndpointState, now: number): EndpointHold | undefined {
    if (endpoint.brittleness.rejectionsPerSecond === undefined) return undefined
    const until = this.brittleShare.heldBackUntil(endpoint, this.occupancyOf(endpoint), now)
    return until === undefined ? undefined : { reason: 'brittle', until }
  }

  /**
   * @param endpoints - endpoints that a request may use
   * @param now - monotonic milliseconds
   * @returns when the first of them that is held back may get a request, in monotonic milliseconds; infinity if none is held back
   */
  firstReleaseAt (endpoints: readonly EndpointState[], now: number): number {
    return Math.min(...endpoints.map(endpoint => this.hold(endpoint, now)?.until ?? Number.POSITIVE_INFINITY))
  }

  /**
   * Applies the limits that the head of a response states.
   *
   * @param endpoint - endpoint that responded
   * @param head - head of the response
   * @param now - monotonic milliseconds
   */
  observeAnswer (endpoint: EndpointState, { status, fields: { instance, isLeaving, isNotExecuted, requestsPerSecond, rejectionsPerSecond, retryAfterMs } }: ResponseHead, now: number): void {
    // The response may come from another instance at the same address, and then says nothing about this endpoint.
    if (instance === undefined ? status === MISDIRECTED : instance !== endpoint.id) return
    if (isLeaving) this.#markLeaving(endpoint)
    if (endpoint.rateLimit.observeAnswer(requestsPerSecond, now)) this.#logRateLimit(endpoint, now)
    if (endpoint.brittleness.observeAnswer(rejectionsPerSecond, now)) this.#logBrittleness(endpoint)
    if (!isNotExecuted) endpoint.brittleness.observeAccepted()
    else if (status === UNAVAILABLE) endpoint.brittleness.observeRejection(now)
    if (status !== UNAVAILABLE) endpoint.requestedPause.recordAccepted(now)
    else if (retryAfterMs !== undefined) this.#recordPause(endpoint, retryAfterMs, now)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns what endpoints have stated to this host recently, for the other hosts
   */
  ownStatements (now: number): Pick<HostLoad, 'limits' | 'brittle'> {
    const limits: EndpointRateLimit[] = []
    const brittle: EndpointBrittleness[] = []
    for (const { incarnation, rateLimit, brittleness } of this.endpoints()) {
      const limit = rateLimit.statement(now)
      if (limit !== undefined) limits.push({ endpoint: incarnation, ...limit })
      const bound = brittleness.statement(now)
      if (bound !== undefined) brittle.push({ endpoint: incarnation, ...bound })
    }
    return { ...(limits.length === 0 ? {} : { limits }), ...(brittle.length === 0 ? {} : { brittle }) }
  }

  /**
   * Applies what endpoints have stated to any host.
   *
   * @param stated - statements as the other hosts reported them, with their ages
   * @param asOf - time from which their ages count back, in monotonic milliseconds
   */
  applyStatements ({ limits, brittle }: Pick<PeerLoad, 'limits' | 'brittle'>, asOf: number): void {
    if (limits.length === 0 && brittle.length === 0) return
    const byIncarnation = new Map(this.endpoints().map(endpoint => [endpoint.incarnation, endpoint]))
    for (const statement of limits) {
      const endpoint = byIncarnation.get(statement.endpoint)
      if (endpoint?.rateLimit.observeStatement(statement, asOf) === true) this.#logRateLimit(endpoint, performance.now())
    }
    for (const statement of brittle) {
      const endpoint = byIncarnation.get(statement.endpoint)
      if (endpoint?.brittleness.observeStatement(statement, asOf) === true) this.#logBrittleness(endpoint)
    }
  }

  /**
   * Counts a send in the metrics if the endpoint has stated a limit.
   *
   * @param endpoint - endpoint that a request is being sent to
   * @param now - monotonic milliseconds
   */
  countSend (endpoint: EndpointState, now: number): void {
    if (endpoint.requestedPause.isActive(now)) this.#sendsDespitePause.count(endpoint.listed.service)
    if (endpoint.rateLimit.requestsPerSecond !== undefined) this.#sendsDespiteLimit.count(endpoint.listed.service)
  }

  #markLeaving (endpoint: EndpointState): void {
    if (endpoint.isLeaving) return
    endpoint.markLeaving()
    this.telemetry.logStateChange('endpoint-leaving', { endpoint: endpoint.id, address: endpoint.listed.address, underWay: endpoint.inFlight })
  }

  #recordPause (endpoint: EndpointState, pauseMs: number, now: number): void {
    if (!endpoint.requestedPause.extend(pauseMs, now)) return
    this.telemetry.logStateChange('endpoint-asked-to-pause', {
      endpoint: endpoint.id, address: endpoint.listed.address, pauseMs: Math.round(pauseMs), sentLately: endpoint.sends.countSince(now - RECENT_SENDS_WINDOW_MS)
    })
  }

  #logBrittleness ({ id, listed: { address }, brittleness: { rejectionsPerSecond } }: EndpointState): void {
    this.telemetry.logStateChange('endpoint-brittle', { endpoint: id, address, rejectionsPerSecond: rejectionsPerSecond ?? -1 })
  }

  #logRateLimit (endpoint: EndpointState, now: number): void {
    const { requestsPerSecond } = endpoint.rateLimit
    const fields = { endpoint: endpoint.id, address: endpoint.listed.address, sentLately: endpoint.sends.countSince(now - RECENT_SENDS_WINDOW_MS) }
    if (requestsPerSecond === undefined) this.telemetry.logStateChange('endpoint-rate-limit-lifted', fields)
    else this.telemetry.logStateChange('endpoint-rate-limited', { ...fields, requestsPerSecond })
  }

  #admitsCold (endpoint: EndpointState, now: number): boolean {
    const rate = this.#coldRates.get(endpoint.listed.service)
    return rate === undefined || !endpoint.isCold(now) || this.coldAllowance.admits(endpoint, rate, now)
  }

  #countRateLimited (): number {
    return this.endpoints().filter(endpoint => endpoint.rateLimit.requestsPerSecond !== undefined).length
  }

  #countPausing (now: number): number {
    return this.endpoints().filter(endpoint => endpoint.requestedPause.isActive(now)).length
  }

  #countCold (now: number): number {
    return this.endpoints().filter(endpoint => this.#coldRates.has(endpoint.listed.service) && endpoint.isCold(now)).length
  }
}
