/** Finds stored prompt parts that no request can use any more. */
import { versionOfScope } from '@eelgrassmux/routing/prompts/cacheScope'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { StoredPart } from '@eelgrassmux/schema/site/storedParts'

/**
 * Finds the parts to free. A part is valid only for the weight version under which
 * it was computed. Once every engine holds a newer version, no request can use the
 * part: the versions on an engine only increase, and an engine refuses a request
 * that expects another version.
 *
 * @param parts - parts that a store holds
 * @param endpoints - listed endpoints, including engines that are leaving
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
