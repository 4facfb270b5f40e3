/** What operators and services forbid of endpoints: data centres that are evacuated, rates of endpoints that are cold. */
import type { ColdAllowance } from '@eelgrassmux/routing/endpoints/ColdAllowance'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Follows the site and the operators' orders. */
export class EndpointLimits {
  readonly #coldRates = new Map<string, number>()
  #evacuated: ReadonlySet<string> = new Set()

  /**
   * @param coldAllowance - this host's part of what cold endpoints take
   * @param endpoints - all endpoints, as of now
   * @param telemetry - log and metrics
   */
  constructor (
    private readonly coldAllowance: ColdAllowance,
    private readonly endpoints: () => readonly EndpointState[],
    private readonly telemetry: Telemetry
  ) {
    telemetry.gauge('endpoints_cold', 'Endpoints that take few requests a second for now, as far as is known', () => this.#countCold(performance.now()))
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
      for (const endpoint of endpoints) endpoint.observeAbsence(now)
      const underWay = endpoints.reduce((sum, endpoint) => sum + endpoint.inFlight, 0)
      this.telemetry.stateChanged('evacuation-in-force', { dataCentre, isEvacuated: evacuated.has(dataCentre), endpoints: endpoints.length, underWay })
    }
  }

  /**
   * @param endpoint - a cold endpoint
   * @param now - monotonic milliseconds
   * @returns whether this host may send it one more request now
   */
  admitsCold (endpoint: EndpointState, now: number): boolean {
    const rate = this.#coldRates.get(endpoint.listed.service)
    return rate === undefined || this.coldAllowance.admits(endpoint, rate, now)
  }

  #countCold (now: number): number {
    return this.endpoints().filter(endpoint => this.#coldRates.has(endpoint.listed.service) && endpoint.isCold(now)).length
  }
}
