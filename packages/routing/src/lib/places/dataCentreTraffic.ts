/** Cost of a request whose endpoint, or whose store, is in another data centre. */
import type { StoreTransfer } from '../stores/StoreLinks.js'
import type { DataCentreDistances } from './DataCentreDistances.js'

/** Fixed cost of another data centre compared with the own one, in milliseconds: half a millisecond each way, and the price of the traffic. */
const FIXED_COST_MS = 2

/**
 * Cost of a thousand bytes of request and answer between data centres, in milliseconds. A prompt of 12,000 bytes stays
 * in its own data centre while it begins there at most 48 ms later than elsewhere, which is a tenth or less of the
 * latency objectives of such prompts (408 and 1,519 ms). With 2 ms the waits of engines differ by more too often: in the
 * simulation of two data centres, 0.47 to 0.66 of the bytes remain, and 0.36 to 0.49 with 4 ms.
 */
const COST_MS_PER_KILOBYTE = 4

const BYTES_PER_KILOBYTE = 1000

/**
 * Cost of a fetch between data centres as a multiple of the time for which it occupies its link. It is not charged by
 * the byte like a request: 9,000 tokens are 168 MB, so no fetch would ever be made, and its prompt would be prefilled
 * again, which costs more than the traffic.
 */
const FETCH_COST_FACTOR = 1

/** What a request would move between data centres. */
export interface DataCentreTraffic {
  readonly distances: DataCentreDistances
  /** Bytes of the request and, as far as they can be expected, of the answer. */
  readonly bytes: number
}

/**
 * @param dataCentre - data centre of an endpoint
 * @param own - data centre of this host
 * @param traffic - what the request would move; undefined if another data centre has a fixed cost
 * @returns cost of sending the request there, in milliseconds
 */
export function endpointTrafficCostMs (dataCentre: string, own: string, traffic: DataCentreTraffic | undefined): number {
  if (dataCentre === own) return 0
  if (traffic === undefined) return FIXED_COST_MS
  return traffic.distances.roundTripMs(dataCentre) + traffic.bytes / BYTES_PER_KILOBYTE * COST_MS_PER_KILOBYTE
}

/**
 * @param transfer - transfer from a store to an engine
 * @param transferMs - time for which it occupies its link, in milliseconds
 * @param distances - distances of data centres; undefined if they are not considered
 * @returns cost beyond that time, in milliseconds; 0 within a data centre
 */
export function fetchTrafficCostMs ({ store, dataCentre }: StoreTransfer, transferMs: number, distances: DataCentreDistances | undefined): number {
  if (distances === undefined || store.dataCentre === dataCentre) return 0
  return distances.roundTripBetweenMs(store.dataCentre, dataCentre) + transferMs * FETCH_COST_FACTOR
}
