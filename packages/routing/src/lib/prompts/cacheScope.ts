/**
 * Cache salt by which engines and stores keep prompt parts apart.
 *
 * Parts computed with different weights must never be mixed, an isolated customer shares no parts
 * with others, also none that it left before it became isolated, and parts that must stay in certain regions must not be found by requests that may
 * go elsewhere. Engines and stores compare nothing but this text.
 */
import { createHash } from 'node:crypto'
import type { SiteCustomer } from '@eelgrassmux/schema/site/siteSchema'
import type { RegionBound } from '../places/RegionBound.js'

const SCOPE_PATTERN = /^v(\d+)(?:[./].*)?$/

/** Length of the name of a sharing group, in hexadecimal digits. */
const GROUP_LENGTH = 12

/** Customer names that are used in a scope as they are. They hold no separator and may stand in a header. */
const PLAIN_NAME_PATTERN = /^[\w-]+$/

/**
 * Names the group of customers that share parts. Each set of isolated customers has a group of its own, so nobody finds
 * what a customer left in the group before it became isolated. Hosts agree on the name without knowing earlier sites.
 *
 * @param customers - customers of the site
 * @returns name of the group; empty if nobody is isolated
 */
export function sharingGroupOf (customers: readonly SiteCustomer[]): string {
  const isolated = customers.filter(({ isIsolated }) => isIsolated).map(({ name }) => name).sort()
  return isolated.length === 0 ? '' : createHash('sha256').update(JSON.stringify(isolated)).digest('hex').slice(0, GROUP_LENGTH)
}

/** Who may find a part: one isolated customer, or all customers of a sharing group. */
export type CacheOwner = { readonly isolatedCustomer: string } | { readonly sharingGroup: string }

/**
 * @param version - version of the weights
 * @param owner - who may find the parts
 * @param bound - regions in which the prompt has to stay, if there is such a restriction
 * @returns the cache salt
 */
export function cacheScope (version: number, owner: CacheOwner, bound?: RegionBound): string {
  const regions = bound === undefined ? '' : `//${bound.name}`
  return `v${version}${ownerText(owner)}${regions}`
}

function ownerText (owner: CacheOwner): string {
  if ('isolatedCustomer' in owner) return `/${escapeName(owner.isolatedCustomer)}`
  return owner.sharingGroup === '' ? '' : `.${owner.sharingGroup}`
}

function escapeName (name: string): string {
  return PLAIN_NAME_PATTERN.test(name) ? name : `%${createHash('sha256').update(JSON.stringify(name)).digest('hex')}`
}

/**
 * @param scope - cache salt created by {@link cacheScope}
 * @returns the version of the weights in it, or undefined for any other text
 */
export function versionOfScope (scope: string): number | undefined {
  const match = SCOPE_PATTERN.exec(scope)
  return match === null ? undefined : Number(match[1])
}
