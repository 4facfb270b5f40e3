/** Selects the hosts that may use a budget too small to give each of them a share, without any exchange between hosts. */
import { crc32 } from 'node:zlib'
import { mix32 } from '../prompts/homeEndpoint.js'

const RANGE_32 = 2 ** 32

/**
 * @param host - unique name of a host
 * @param incarnation - incarnation of an endpoint
 * @returns hash as a number in [0, 1): always the same for one pair, and spread evenly over all pairs
 */
export function hostHashFraction (host: string, incarnation: string): number {
  return mix32(crc32(`${host} ${incarnation}`)) / RANGE_32
}
