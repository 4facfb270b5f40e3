/** Endpoints that the site has a use for. */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'

/**
 * An entry may name a service that the site does not have, or a store, which has no
 * endpoints: no request goes there, and nothing is concluded from it or ordered of it.
 *
 * @param endpoints - as listed
 * @param site - as agreed; undefined before there is one, when no service can be told to be unknown
 */
export function endpointsOfSite (endpoints: readonly ListedEndpoint[], site: Site | undefined): readonly ListedEndpoint[] {
  if (site === undefined) return endpoints
  const services = new Set(site.services.filter(service => service.type === 'replicated').map(service => service.name))
  return endpoints.filter(endpoint => services.has(endpoint.service))
}
