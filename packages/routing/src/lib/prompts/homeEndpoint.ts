/** A stable home among endpoints for each shared prompt part, found by every host alike without asking. */
import { crc32 } from 'node:zlib'

/** Names whose checksums are kept; endpoints that are gone are forgotten with all others once there are more. */
const KEPT_CHECKSUMS = 10_000

const checksums = new Map<string, number>()

/**
 * Rendezvous hashing: few parts move when endpoints come and go.
 *
 * @param part - id of a shared part
 * @param endpoints - ids of candidates
 * @returns the candidate with the highest weight, or undefined if there is none
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

/** Kept because every choice asks for those of all endpoints. */
function checksumOf (endpoint: string): number {
  const present = checksums.get(endpoint)
  if (present !== undefined) return present
  if (checksums.size >= KEPT_CHECKSUMS) checksums.clear()
  const checksum = crc32(endpoint)
  checksums.set(endpoint, checksum)
  return checksum
}

/**
 * Finalizer of MurmurHash3: a checksum alone is linear, and its order would hardly change from part to part.
 *
 * @param value - 32-bit number
 * @returns a 32-bit number without sign
 */
export function mix32 (value: number): number {
  let mixed = value ^ (value >>> 16)
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed ^= mixed >>> 13
  mixed = Math.imul(mixed, 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
