/** Which hosts may use what is too little for each of them, without any exchange between them. */
import { crc32 } from 'node:zlib'
import { mix32 } from '../prompts/homeEndpoint.js'

const RANGE_32 = 2 ** 32

/**
 * @param host - name of a host, unlike those of all others
 * @param incarnation - of an endpoint
 * @returns number in [0, 1), always the same for this pair and spread evenly over all pairs
 */
export function hostHashFraction (host: string, incarnation: string): number {
  return mix32(crc32(`${host} ${incarnation}`)) / RANGE_32
}
