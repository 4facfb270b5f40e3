/** Selects the endpoints that belong to a replicated service of the site. */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'

/**
 * Drops list entries that name a service missing from the site, or a store, which has no
 * endpoints. Such endpoints get no requests and no orders, and their state is ignored.
 *
 * @param endpoints - listed endpoints
 * @param site - committed site, or undefined if there is none yet; all endpoints are then returned
 */
export function endpointsOfSite (endpoints: readonly ListedEndpoint[], site: Site | undefined): readonly ListedEndpoint[] {
  if (site === undefined) return endpoints
  const services = new Set(site.services.filter(service => service.type === 'replicated').map(service => service.name))
  return endpoints.filter(endpoint => services.has(endpoint.service))
}
