/**
 * The text under which engines and stores keep prompt parts apart.
 *
 * Parts read under different weights must never meet, an isolated customer shares none with
 * anybody, and what has to stay in some regions is not found by requests that may go elsewhere. Engines and stores compare nothing but this text.
 */

import type { RegionBound } from '../places/RegionBound.js'

const PATTERN = /^v(\d+)(?:\/.*)?$/

/**
 * @param version - version of the weights
 * @param isolatedCustomer - name of the customer, if it shares nothing
 * @param bound - regions in which the prompt has to stay, if it has to
 * @returns the text
 */
export function cacheScope (version: number, isolatedCustomer: string | undefined, bound?: RegionBound): string {
  const customer = isolatedCustomer === undefined ? '' : `/${isolatedCustomer}`
  const regions = bound === undefined ? '' : `//${bound.name}`
  return `v${version}${customer}${regions}`
}

/**
 * @param scope - a text made by {@link cacheScope}
 * @returns the version of the weights in it, or undefined for any other text
 */
export function versionOfScope (scope: string): number | undefined {
  const match = PATTERN.exec(scope)
  return match === null ? undefined : Number(match[1])
}
