/** Chooses the control hosts at which an entry host keeps the origins of its streams. */
import { crc32 } from 'node:zlib'
import { mix32 } from '../prompts/homeEndpoint.js'

/** Most control hosts that keep one origin. */
const MAX_HOLDERS = 5

/**
 * Chooses a majority of the control hosts, so that one of them is left while the group can agree. Different entry hosts
 * choose different ones, which spreads the load.
 *
 * @param host - name of the entry host
 * @param controlHosts - addresses of the control hosts
 * @returns addresses of the holders
 */
export function chooseOriginHolders (host: string, controlHosts: readonly string[]): readonly string[] {
  const count = Math.min(MAX_HOLDERS, Math.floor(controlHosts.length / 2) + 1)
  const weightOf = (address: string): number => mix32(crc32(address) ^ Math.imul(crc32(host), 0x9e3779b1))
  return controlHosts
    .map(address => ({ address, weight: weightOf(address) }))
    .sort((left, right) => right.weight - left.weight)
    .slice(0, count)
    .map(({ address }) => address)
}
