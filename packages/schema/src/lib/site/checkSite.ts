/** Checks across the parts of a site. */
import type { Route, Site } from './siteSchema.js'

/** An error in a site. */
export interface SiteProblem {
  /** Path of the invalid field, such as `routes.r-1.targets`. */
  readonly field: string
  readonly message: string
}

/**
 * Checks that route targets exist and have weight, that no two routes share host and
 * path prefix, and that no two customers share a key.
 *
 * @param site - site that matches its schema
 * @returns the first problem, or undefined
 */
export function checkSite (site: Site): SiteProblem | undefined {
  return checkRoutes(site) ?? checkKeys(site)
}

function checkRoutes (site: Site): SiteProblem | undefined {
  const services = new Set(site.services.filter(service => service.type === 'replicated').map(service => service.name))
  const routeKeys = new Set<string>()
  for (const route of site.routes) {
    const problem = checkTargets(route, services)
    if (problem !== undefined) return problem
    const routeKey = JSON.stringify([route.host.toLowerCase(), route.pathPrefix])
    if (routeKeys.has(routeKey)) return { field: `routes.${route.name}.pathPrefix`, message: `another route has ${route.host} ${route.pathPrefix}` }
    routeKeys.add(routeKey)
  }
  return undefined
}

function checkTargets (route: Route, services: ReadonlySet<string>): SiteProblem | undefined {
  const field = `routes.${route.name}.targets`
  const unknown = route.targets.find(target => !services.has(target.service))
  if (unknown !== undefined) return { field, message: `there is no service ${unknown.service}` }
  const weight = route.targets.reduce((sum, target) => sum + target.weight, 0)
  return weight > 0 ? undefined : { field, message: 'the weights add up to 0' }
}

function checkKeys (site: Site): SiteProblem | undefined {
  const ownersByKey = new Map<string, string>()
  for (const customer of site.customers ?? []) {
    for (const key of customer.keys) {
      const owner = ownersByKey.get(key)
      if (owner !== undefined && owner !== customer.name) {
        return { field: `customers.${customer.name}.keys`, message: `${owner} holds the same key` }
      }
      ownersByKey.set(key, customer.name)
    }
  }
  return undefined
}
