/**
 * Cache salt by which engines and stores keep prompt parts apart.
 *
 * Parts computed with different weights must never be mixed, an isolated customer shares no parts
 * with others, and parts that must stay in certain regions must not be found by requests that may
 * go elsewhere. Engines and stores compare nothing but this text.
 */

import type { RegionBound } from '../places/RegionBound.js'

const SCOPE_PATTERN = /^v(\d+)(?:\/.*)?$/

/**
 * @param version - version of the weights
 * @param isolatedCustomer - name of the customer, if it is isolated
 * @param bound - regions in which the prompt has to stay, if there is such a restriction
 * @returns the cache salt
 */
export function cacheScope (version: number, isolatedCustomer: string | undefined, bound?: RegionBound): string {
  const customer = isolatedCustomer === undefined ? '' : `/${isolatedCustomer}`
  const regions = bound === undefined ? '' : `//${bound.name}`
  return `v${version}${customer}${regions}`
}

/**
 * @param scope - cache salt created by {@link cacheScope}
 * @returns the version of the weights in it, or undefined for any other text
 */
export function versionOfScope (scope: string): number | undefined {
  const match = SCOPE_PATTERN.exec(scope)
  return match === null ? undefined : Number(match[1])
}
