/** The store in which a prompt part is kept, found by every host alike without asking. */
import { crc32 } from 'node:zlib'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { mix32 } from '../prompts/homeEndpoint.js'

/** Numbers that a 32-bit hash can take. */
const HASH_RANGE = 2 ** 32

/**
 * Weighted rendezvous hashing: each store gets parts in proportion to its room,
 * and when one goes only its own parts move.
 *
 * @param part - id of a part
 * @param stores - stores that answer
 * @returns the store for it, or undefined if there is none
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
