/**
 * Limits the requests that this host sends to a cold endpoint.
 *
 * When the endpoints of a data centre come back together, they look idle to every host, and 81
 * hosts that each send a few requests at once overload them again. The limit holds for the sum
 * over all hosts, which need not know each other or share a clock. Each host hashes its own name
 * with that of the endpoint to find out whether it may send there while the endpoint is cold, and
 * then keeps to a strict rate. The hosts exchange nothing. A host that knows too few of the
 * others, resumes after a freeze or has just started exceeds the limit by at most its own few
 * requests.
 */
import type { EndpointState } from './EndpointState.js'
import { hostHashFraction } from './hostHashFraction.js'

/**
 * Share of the stated rate that hosts use together when each may send at most one request a
 * second. The number of hosts that the hash selects varies, and the limit holds for their sum.
 */
const SELECTED_SHARE = 0.6

/** Window in which a host keeps to its share, in milliseconds: one second plus the time that requests take to arrive. */
export const COLD_WINDOW_MS = 1100

/** Limits sends to cold endpoints without any exchange between hosts. */
export class ColdEndpointLimiter {
  /**
   * @param host - unique name of this host
   * @param liveHosts - returns the number of entry hosts that may be alive now
   */
  constructor (private readonly host: string, private readonly liveHosts: () => number) {}

  /**
   * @param endpoint - a cold endpoint
   * @param requestsPerSecond - rate that the endpoint accepts from all hosts together while it is cold
   * @param now - monotonic milliseconds
   * @returns whether this host may send it one more request now
   */
  admits (endpoint: EndpointState, requestsPerSecond: number, now: number): boolean {
    return endpoint.sends.countSince(now - COLD_WINDOW_MS) < this.#requestsInWindow(endpoint.incarnation, requestsPerSecond)
  }

  #requestsInWindow (incarnation: string, requestsPerSecond: number): number {
    const hosts = Math.max(1, this.liveHosts())
    const perHost = Math.floor(requestsPerSecond / hosts)
    if (perHost >= 1) return perHost
    return hostHashFraction(this.host, incarnation) < SELECTED_SHARE * requestsPerSecond / hosts ? 1 : 0
  }
}
