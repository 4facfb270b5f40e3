import { unreachable } from '@eelgrassmux/schema/invariant'
import { AlwaysImport, LeastLoaded, NeverImport, PrefixAffinity } from './baselines.js'
import { CostPlacement } from './CostPlacement.js'
import type { PlacementPolicy, PlacementWeights } from './placementTypes.js'

/** Names of the policies that can be configured, the default policy first. */
export const PLACEMENT_POLICIES = ['eelgrassmux', 'least-loaded', 'prefix-affinity', 'always-import', 'never-import'] as const

/** @public */
export type PlacementPolicyName = typeof PLACEMENT_POLICIES[number]

/**
 * @param name - policy name
 * @returns whether the policy imports from stores, so that exporting is useful
 */
export function usesStores (name: PlacementPolicyName): boolean {
  return name === 'eelgrassmux' || name === 'always-import'
}

/**
 * Creates a placement policy.
 *
 * @param name - policy name
 * @param weights - the profile's weights; baselines ignore them
 * @param random - source of numbers in [0, 1)
 * @returns the policy
 */
export function createPlacementPolicy (name: PlacementPolicyName, weights: PlacementWeights, random: () => number): PlacementPolicy {
  switch (name) {
    case 'eelgrassmux': return new CostPlacement(weights, random)
    case 'least-loaded': return new LeastLoaded(random)
    case 'prefix-affinity': return new PrefixAffinity(random)
    case 'always-import': return new AlwaysImport(random)
    case 'never-import': return new NeverImport(random)
    default: return unreachable(name)
  }
}
