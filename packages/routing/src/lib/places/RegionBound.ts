/** Restricts a request, and everything that is stored of its prompt, to regions. */
import type { Route, SiteCustomer } from '@eelgrassmux/schema/site/siteSchema'

/** The regions to which a request is restricted. */
export interface RegionBound {
  /** Separates what is stored under this restriction from everything else. */
  readonly name: string
  /**
   * @param dataCentre - data centre of an endpoint or a store
   * @returns whether the request, or parts of its prompt, may be in that data centre
   */
  allows (dataCentre: string): boolean
}

/**
 * Combines the regions of a route and a customer; where both name regions, both apply.
 *
 * @param route - route of the request
 * @param customer - customer that sends the request, if known
 * @param regions - region of each data centre; a data centre that is not listed lies in no region
 * @returns the restriction, or undefined if neither names regions
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
