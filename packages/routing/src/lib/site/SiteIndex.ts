/** Look-ups over one site, built once for each version. */
import type { ReplicatedService, Route, Site, SiteCustomer, StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { RouteTable } from './RouteTable.js'

/** Immutable index of a site. */
export class SiteIndex {
  readonly routes: RouteTable
  readonly services = new Map<string, ReplicatedService>()
  readonly stores: readonly StoreService[]
  /** Whether requests to routes that are not public need a key. */
  readonly needsKeys: boolean
  readonly #customersByKey = new Map<string, SiteCustomer>()

  /** @param site - checked site */
  constructor (readonly site: Site) {
    this.routes = new RouteTable(site)
    for (const service of site.services) {
      if (service.type === 'replicated') this.services.set(service.name, service)
    }
    this.stores = site.services.filter(service => service.type === 'store')
    this.needsKeys = site.customers !== undefined
    for (const customer of site.customers ?? []) {
      for (const key of customer.keys) this.#customersByKey.set(key, customer)
    }
  }

  /**
   * @param key - as the caller sent it
   * @returns who holds it, or undefined
   */
  customerByKey (key: string): SiteCustomer | undefined {
    return this.#customersByKey.get(key)
  }

  /**
   * Draws the service of one request by the weights of its route.
   *
   * @param route - route of the request
   * @param random - number in [0, 1)
   */
  selectService (route: Route, random: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
    let remaining = random * total
    for (const target of route.targets) {
      remaining -= target.weight
      if (remaining < 0) return target.service
    }
    return route.targets.findLast(target => target.weight > 0)?.service ?? ''
  }
}
