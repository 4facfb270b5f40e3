/** Finds stored parts that no request can use any more. */
import { versionOfScope } from '@eelgrassmux/routing/prompts/cacheScope'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { StoredPart } from '@eelgrassmux/schema/site/storedParts'

/**
 * A part belongs to the weights under which it was read. Once every engine holds
 * newer ones, no request can ask for it: versions only rise on an engine, and an
 * engine refuses a request that expects others.
 *
 * @param parts - parts that a store holds
 * @param endpoints - the list; engines that are on their way out count too
 * @returns parts to free
 */
export function findObsoleteParts (parts: readonly StoredPart[], endpoints: readonly ListedEndpoint[]): StoredPart[] {
  const versions = endpoints.flatMap(endpoint => endpoint.models.map(held => held.version))
  if (versions.length === 0) return []
  const oldest = Math.min(...versions)
  return parts.filter(([scope]) => {
    const version = versionOfScope(scope)
    return version !== undefined && version < oldest
  })
}
