/** Chooses the store that keeps a prompt part. All hosts compute the same store without communication. */
import { crc32 } from 'node:zlib'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { mix32 } from '../prompts/homeEndpoint.js'

/** Number of values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32

/**
 * Selects a store by weighted rendezvous hashing. Each store gets parts in proportion to its
 * capacity, and when a store is removed only its own parts move.
 *
 * @param part - id of a part
 * @param stores - stores that are available
 * @returns the store for the part, or undefined if there are no stores
 */
export function homeStore (part: string, stores: readonly StoreService[]): StoreService | undefined {
  const seed = crc32(part)
  let best: StoreService | undefined
  let bestScore = Number.NEGATIVE_INFINITY
  for (const store of stores) {
    const hash = mix32(crc32(store.address) ^ Math.imul(seed, 0x9e3779b1))
    const score = -store.cacheTokens / Math.log((hash + 1) / (HASH_RANGE + 1))
    if (score > bestScore) {
      best = store
      bestScore = score
    }
  }
  return best
}
