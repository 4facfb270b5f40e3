/** Finds the route of a request by its host and longest path prefix. */
import type { Route, Site } from '@eelgrassmux/schema/site/siteSchema'

/** Routes of one site. Every prefix ends with a slash, so a lookup only tries the prefixes that end at a slash of the path. */
export class RouteTable {
  readonly #byHost = new Map<string, Map<string, Route>>()

  /** @param site - active site */
  constructor (site: Pick<Site, 'routes'>) {
    for (const route of site.routes) {
      const host = route.host.toLowerCase()
      const prefixes = this.#byHost.get(host) ?? new Map<string, Route>()
      prefixes.set(route.pathPrefix, route)
      this.#byHost.set(host, prefixes)
    }
  }

  /**
   * @param host - host of the request; a port is ignored
   * @param target - path with query
   * @returns the route with the longest prefix of the path, or undefined
   */
  find (host: string, target: string): Route | undefined {
    const prefixes = this.#byHost.get(hostName(host))
    if (prefixes === undefined) return undefined
    const query = target.indexOf('?')
    const path = query < 0 ? target : target.slice(0, query)
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
    }
    return undefined
  }
}

function hostName (host: string): string {
  const colon = host.indexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}
