/** What operators, services and endpoints themselves forbid of endpoints: data centres that are evacuated, rates that are not to be exceeded. */
import type { ColdEndpointLimiter } from '@eelgrassmux/routing/endpoints/ColdEndpointLimiter'
import type { HoldBackReason } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { SharedRateLimiter } from '@eelgrassmux/routing/endpoints/SharedRateLimiter'
import type { RateLimitStatement } from '@eelgrassmux/routing/endpoints/StatedRateLimit'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { AnswerHead } from './RoutedAttempt.js'

/** Time in which sends to an endpoint count as lately where its limit is logged, in milliseconds. */
const LATELY_MS = 4000

/** Status of an answer that may come from another instance at the endpoint's address. */
const MISDIRECTED = 421

/** Status of a rejection that may ask for a pause. */
const UNAVAILABLE = 503

/** That an endpoint is held back from this host. */
export interface EndpointHold {
  readonly reason: HoldBackReason
  /** Monotonic milliseconds before which it gets nothing from this host. */
  readonly until: number
}

/** Follows the site, the operators' orders and what endpoints ask for. */
export class EndpointLimits {
  readonly #coldRates = new Map<string, number>()
  #evacuated: ReadonlySet<string> = new Set()
  readonly #sentDespiteLimit: LabelledCounter
  readonly #sentDespitePause: LabelledCounter

  /**
   * @param coldAllowance - this host's part of what cold endpoints take
   * @param rateShare - this host's part of rates that endpoints name
   * @param endpoints - all endpoints, as of now
   * @param telemetry - log and metrics
   */
  constructor (
    private readonly coldAllowance: ColdEndpointLimiter,
    private readonly rateShare: SharedRateLimiter,
    private readonly endpoints: () => readonly EndpointState[],
    private readonly telemetry: Telemetry
  ) {
    telemetry.gauge('endpoints_cold', 'Endpoints that take few requests a second for now, as far as is known', () => this.#countCold(performance.now()))
    telemetry.gauge('endpoints_rate_limited', 'Endpoints that name a rate of requests which they take from all hosts together', () => this.#countRateLimited())
    this.#sentDespiteLimit = telemetry.labelledCounter('rate_limited_sends_total', 'Requests sent to endpoints that name a rate, by service', 'service')
    telemetry.gauge('endpoints_asked_to_pause', 'Endpoints that rejected a request and want nothing from this host for now', () => this.#countPausing(performance.now()))
    this.#sentDespitePause = telemetry.labelledCounter('sends_despite_requested_pause_total', 'Requests sent to endpoints that want nothing for now, by service', 'service')
    telemetry.gauge('data_centres_evacuated', 'Data centres whose endpoints get no new work', () => this.#evacuated.size)
  }

  /** Data centres whose endpoints get no new work. */
  get evacuated (): ReadonlySet<string> { return this.#evacuated }

  /** @param site - that is now in force */
  configure (site: Site): void {
    this.#coldRates.clear()
    for (const service of site.services) {
      if (service.type === 'replicated' && service.coldRequestsPerSecond !== undefined) this.#coldRates.set(service.name, service.coldRequestsPerSecond)
    }
  }

  /**
   * @param evacuated - all data centres that are evacuated from now on
   * @param now - monotonic milliseconds
   */
  evacuate (evacuated: ReadonlySet<string>, now: number): void {
    const changed = [...new Set([...this.#evacuated, ...evacuated])].filter(name => evacuated.has(name) !== this.#evacuated.has(name))
    this.#evacuated = evacuated
    for (const dataCentre of changed) {
      const endpoints = this.endpoints().filter(endpoint => endpoint.listed.dataCentre === dataCentre)
      // They may start anew meanwhile, and the list lags.
      for (const endpoint of endpoints) endpoint.markUnavailable(now)
      const underWay = endpoints.reduce((sum, endpoint) => sum + endpoint.inFlight, 0)
      this.telemetry.logStateChange('evacuation-in-force', { dataCentre, isEvacuated: evacuated.has(dataCentre), endpoints: endpoints.length, underWay })
    }
  }

  /**
   * @param endpoint - that a request might go to
   * @param now - monotonic milliseconds
   * @returns why this host may not send it one now, and until when at least; undefined if it may
   */
  hold (endpoint: EndpointState, now: number): EndpointHold | undefined {
    // Nobody can tell how soon it is warm.
    if (!this.#admitsCold(endpoint, now)) return { reason: 'cold', until: now }
    const pauseUntil = endpoint.requestedPause.pausedUntil(endpoint.sends.newest(1), now)
    if (pauseUntil !== undefined) return { reason: 'asked-to-pause', until: pauseUntil }
    const until = this.rateShare.heldBackUntil(endpoint, now)
    return until === undefined ? undefined : { reason: 'rate-limited', until }
  }

  /**
   * @param endpoints - that a request may use
   * @param now - monotonic milliseconds
   * @returns when the first of them that is held back may get a request; infinity if there is none
   */
  firstRelease (endpoints: readonly EndpointState[], now: number): number {
    return Math.min(...endpoints.map(endpoint => this.hold(endpoint, now)?.until ?? Number.POSITIVE_INFINITY))
  }

  /**
   * Takes what the head of an answer asks of hosts.
   *
   * @param endpoint - that answers
   * @param head - of the answer
   * @param now - monotonic milliseconds
   */
  observeAnswer (endpoint: EndpointState, { status, fields: { instance, isLeaving, requestsPerSecond, retryAfterMs } }: AnswerHead, now: number): void {
    // Another instance at its address speaks for itself.
    if (instance === undefined ? status === MISDIRECTED : instance !== endpoint.id) return
    if (isLeaving) this.#takeLeaving(endpoint)
    if (endpoint.rateLimit.observeAnswer(requestsPerSecond, now)) this.#logRateLimit(endpoint, now)
    if (status !== UNAVAILABLE) endpoint.requestedPause.recordAccepted(now)
    else if (retryAfterMs !== undefined) this.#takePause(endpoint, retryAfterMs, now)
  }

  /**
   * Takes what another host has read in answers of an endpoint.
   *
   * @param endpoint - that has said so
   * @param statement - as told
   * @param now - monotonic milliseconds
   */
  observeStatement (endpoint: EndpointState, statement: RateLimitStatement, now: number): void {
    if (endpoint.rateLimit.observeStatement(statement, now)) this.#logRateLimit(endpoint, now)
  }

  /**
   * @param endpoint - that a request is being sent to
   * @param now - monotonic milliseconds
   */
  noteSend (endpoint: EndpointState, now: number): void {
    if (endpoint.requestedPause.isActive(now)) this.#sentDespitePause.count(endpoint.listed.service)
    if (endpoint.rateLimit.requestsPerSecond !== undefined) this.#sentDespiteLimit.count(endpoint.listed.service)
  }

  #takeLeaving (endpoint: EndpointState): void {
    if (endpoint.isLeaving) return
    endpoint.markLeaving()
    this.telemetry.logStateChange('endpoint-leaving', { endpoint: endpoint.id, address: endpoint.listed.address, underWay: endpoint.inFlight })
  }

  #takePause (endpoint: EndpointState, pauseMs: number, now: number): void {
    if (!endpoint.requestedPause.extend(pauseMs, now)) return
    this.telemetry.logStateChange('endpoint-asked-to-pause', {
      endpoint: endpoint.id, address: endpoint.listed.address, pauseMs: Math.round(pauseMs), sentLately: endpoint.sends.countSince(now - LATELY_MS)
    })
  }

  #logRateLimit (endpoint: EndpointState, now: number): void {
    const { requestsPerSecond } = endpoint.rateLimit
    const fields = { endpoint: endpoint.id, address: endpoint.listed.address, sentLately: endpoint.sends.countSince(now - LATELY_MS) }
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
