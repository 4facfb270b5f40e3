/** Index of a site, built once for each version. */
import type { ReplicatedService, Route, Site, SiteCustomer, StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { sharingGroupOf } from '../prompts/cacheScope.js'
import { RouteTable } from './RouteTable.js'

/** Immutable lookup tables of a site. */
export class SiteIndex {
  readonly routes: RouteTable
  readonly services = new Map<string, ReplicatedService>()
  readonly stores: readonly StoreService[]
  /** Whether requests to routes that are not public need a key. */
  readonly needsKeys: boolean
  /** Name of the group of customers that share cached parts; see {@link sharingGroupOf}. */
  readonly sharingGroup: string
  readonly #customersByKey = new Map<string, SiteCustomer>()

  /** @param site - validated site */
  constructor (readonly site: Site) {
    this.routes = new RouteTable(site)
    for (const service of site.services) {
      if (service.type === 'replicated') this.services.set(service.name, service)
    }
    this.stores = site.services.filter(service => service.type === 'store')
    this.needsKeys = site.customers !== undefined
    this.sharingGroup = sharingGroupOf(site.customers ?? [])
    for (const customer of site.customers ?? []) {
      for (const key of customer.keys) this.#customersByKey.set(key, customer)
    }
  }

  /**
   * @param key - key sent by the caller
   * @returns the customer that owns the key, or undefined
   */
  customerByKey (key: string): SiteCustomer | undefined {
    return this.#customersByKey.get(key)
  }

  /**
   * Selects the service of a request at random by the weights of its route.
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
