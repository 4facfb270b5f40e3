/** Chooses a stable home endpoint for each shared prompt part. All hosts compute the same home without communication. */
import { crc32 } from 'node:zlib'

/** Maximum number of cached checksums. The cache is cleared when it is full, which also drops endpoints that no longer exist. */
const MAX_CACHED_CHECKSUMS = 10_000

const checksums = new Map<string, number>()

/**
 * Selects an endpoint by rendezvous hashing, so that few parts move when endpoints are added or removed.
 *
 * @param part - id of a shared part
 * @param endpoints - ids of candidates
 * @returns the candidate with the highest weight, or undefined if there are no candidates
 */
export function homeEndpoint (part: string, endpoints: readonly string[]): string | undefined {
  const seed = crc32(part)
  let best: string | undefined
  let bestWeight = -1
  for (const endpoint of endpoints) {
    const weight = mix32(checksumOf(endpoint) ^ Math.imul(seed, 0x9e3779b1))
    if (weight > bestWeight) {
      best = endpoint
      bestWeight = weight
    }
  }
  return best
}

/** Returns a cached checksum, because every choice needs the checksums of all endpoints. */
function checksumOf (endpoint: string): number {
  const cached = checksums.get(endpoint)
  if (cached !== undefined) return cached
  if (checksums.size >= MAX_CACHED_CHECKSUMS) checksums.clear()
  const checksum = crc32(endpoint)
  checksums.set(endpoint, checksum)
  return checksum
}

/**
 * Finalizer of MurmurHash3. A CRC alone is linear, so the order of the endpoints would hardly differ between parts.
 *
 * @param value - 32-bit number
 * @returns an unsigned 32-bit number
 */
export function mix32 (value: number): number {
  let mixed = value ^ (value >>> 16)
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed ^= mixed >>> 13
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
