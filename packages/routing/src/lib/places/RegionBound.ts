/** Regions in which a request, and all that is kept of its prompt, has to stay. */
import type { Route, SiteCustomer } from '@eelgrassmux/schema/site/siteSchema'

/** Where a request may go. */
export interface RegionBound {
  /** Keeps what is stored under this bound apart from everything else. */
  readonly name: string
  /**
   * @param dataCentre - of an endpoint or a store
   * @returns whether the request, or parts of its prompt, may be there
   */
  allows (dataCentre: string): boolean
}

/**
 * Where both a route and a customer name regions, both hold.
 *
 * @param route - of the request
 * @param customer - who asks, if it is known
 * @param regions - region of each data centre; one that is not named lies in none
 * @returns the bound, or undefined if neither names regions
 */
export function regionBoundOf (
  route: Pick<Route, 'allowedRegions'>, customer: Pick<SiteCustomer, 'allowedRegions'> | undefined, regions: ReadonlyMap<string, string>
): RegionBound | undefined {
  const lists = [route.allowedRegions, customer?.allowedRegions].filter(list => list !== undefined && list.length > 0)
  const [first, ...others] = lists
  if (first === undefined) return undefined
  const allowed = new Set(first.filter(region => others.every(list => list?.includes(region))))
  return {
    name: [...allowed].sort().join('+'),
    allows: dataCentre => allowed.has(regions.get(dataCentre) ?? '')
  }
}
