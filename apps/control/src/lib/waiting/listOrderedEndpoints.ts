import { incarnationName } from '@eelgrassmux/routing/endpoints/incarnationName'
import type { OrderedEndpoint } from '@eelgrassmux/routing/waiting/EndpointRoom'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { ReplicatedService, Site } from '@eelgrassmux/schema/site/siteSchema'

/** What the leader knows about endpoints. */
export interface EndpointKnowledge {
  readonly site: Site | undefined
  readonly endpoints: readonly ListedEndpoint[]
  /** Names of data centres that are evacuated. */
  readonly evacuated: readonly string[]
  /** Incarnations that answer no host and no probe. */
  readonly unresponsive: readonly string[]
}

/**
 * Lists the endpoints that waiting requests may be sent to. Cold ones are left out while others of their service are
 * warm, because they take only a few requests a second.
 *
 * @param knowledge - what is known of the endpoints
 * @returns the endpoints with their limits
 */
export function listOrderedEndpoints ({ site, endpoints, evacuated, unresponsive }: EndpointKnowledge): OrderedEndpoint[] {
  const services = new Map<string, ReplicatedService>()
  for (const service of site?.services ?? []) if (service.type === 'replicated') services.set(service.name, service)
  const objectives = shortestObjectives(site)
  const usable = endpoints.filter(endpoint => {
    const isUsable = !endpoint.isLeaving && !endpoint.isBusy && !evacuated.includes(endpoint.dataCentre)
    return isUsable && services.has(endpoint.service) && !unresponsive.includes(incarnationName(endpoint))
  })
  const warm = new Set(usable.filter(({ isCold }) => isCold !== true).map(({ service }) => service))
  return usable.filter(({ isCold, service }) => isCold !== true || !warm.has(service)).map(endpoint => ({
    incarnation: incarnationName(endpoint),
    service: endpoint.service,
    slots: endpoint.slots,
    memoryTokens: services.get(endpoint.service)?.engine?.cacheTokens,
    objectiveMs: objectives.get(endpoint.service) ?? 0
  }))
}

/** Returns the shortest latency objective of the routes to each service, in milliseconds. */
function shortestObjectives (site: Site | undefined): Map<string, number> {
  const objectives = new Map<string, number>()
  for (const { targets, targetLatencyMs } of site?.routes ?? []) {
    for (const { service } of targets) objectives.set(service, Math.min(targetLatencyMs, objectives.get(service) ?? Number.POSITIVE_INFINITY))
  }
  return objectives
}
