/** Places at the endpoints of plain services: how many calls of all hosts an endpoint gets at once. */
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { countPlaces } from '@eelgrassmux/routing/waiting/endpointPlaces'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'

/**
 * Time for which the occupancy at a rejection limits an endpoint's places, in milliseconds. The occupancy that a host
 * knows may be too low by the calls of the other hosts since their last reports, and would limit the endpoint for good.
 */
const REJECTION_LIFETIME_MS = 5000

/** Counts the places of endpoints. */
export class PlainPlaces {
  readonly #objectivesMs = new Map<string, number>()
  /** Last rejection of each endpoint, by incarnation. */
  readonly #rejections = new Map<string, { readonly occupancy: number, readonly at: number }>()

  /** @param site - site configuration to apply */
  configure (site: Site): void {
    this.#objectivesMs.clear()
    for (const { targets, targetLatencyMs } of site.routes) {
      for (const { service } of targets) this.#objectivesMs.set(service, Math.min(targetLatencyMs, this.#objectivesMs.get(service) ?? Number.POSITIVE_INFINITY))
    }
  }

  /** @param incarnation - endpoint that is gone */
  forget (incarnation: string): void {
    this.#rejections.delete(incarnation)
  }

  /**
   * Records that an endpoint rejected a call because it was full.
   *
   * @param incarnation - endpoint that rejected the call
   * @param occupancy - calls of all hosts that were there besides, as far as is known
   * @param now - monotonic milliseconds
   */
  recordRejection (incarnation: string, occupancy: number, now: number): void {
    this.#rejections.set(incarnation, { occupancy, at: now })
  }

  /**
   * @param endpoint - endpoint of a plain service
   * @param occupancy - calls of all hosts that are there, as far as is known
   * @param now - monotonic milliseconds
   * @returns whether the endpoint has a free place
   */
  hasPlace (endpoint: EndpointState, occupancy: number, now: number): boolean {
    return !endpoint.isFull(now) && occupancy < this.count(endpoint, now)
  }

  /**
   * @param endpoint - endpoint of a plain service
   * @param now - monotonic milliseconds
   * @returns number of its places
   */
  count (endpoint: EndpointState, now: number): number {
    const rejection = this.#rejections.get(endpoint.incarnation)
    return countPlaces({
      slots: endpoint.occupancy(now).slots,
      workMs: endpoint.workMs,
      objectiveMs: this.#objectivesMs.get(endpoint.listed.service) ?? 0,
      rejectedAt: rejection !== undefined && now - rejection.at < REJECTION_LIFETIME_MS ? rejection.occupancy : undefined
    })
  }
}
