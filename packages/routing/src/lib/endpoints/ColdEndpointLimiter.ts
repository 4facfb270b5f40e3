/**
 * This host's part of the requests that a cold endpoint may get.
 *
 * Answers the load of a data centre whose endpoints come back together: to every host they look
 * idle, and 81 hosts that each send a few at once end them again. The bound holds for the sum
 * over all hosts, which neither know each other nor share a clock. So each host draws, from its
 * own name and the endpoint's, whether it may send there at all while the endpoint is cold, and
 * keeps a strict rate if so. Nothing is exchanged. A host that knows too few of the others, is
 * frozen and goes on, or has just started adds at most its own few requests.
 */
import type { EndpointState } from './EndpointState.js'
import { hostDraw } from './hostDraw.js'

/**
 * Part of the stated rate that hosts use between them where each may send one request a second
 * at most: how many of them the draw takes varies, and the bound holds for the sum.
 */
const DRAWN_SHARE = 0.6

/** Window in which a host keeps its part, in milliseconds: a second, and what requests take to arrive. */
export const COLD_WINDOW_MS = 1100

/** Decides without any exchange. */
export class ColdEndpointLimiter {
  /**
   * @param host - name of this host, unlike those of all others
   * @param liveHosts - entry hosts that may be alive, as of now
   */
  constructor (private readonly host: string, private readonly liveHosts: () => number) {}

  /**
   * @param endpoint - a cold endpoint
   * @param requestsPerSecond - that it takes from all hosts together while it is cold
   * @param now - monotonic milliseconds
   * @returns whether this host may send it one more request now
   */
  admits (endpoint: EndpointState, requestsPerSecond: number, now: number): boolean {
    return endpoint.sends.countSince(now - COLD_WINDOW_MS) < this.#requestsInWindow(endpoint.incarnation, requestsPerSecond)
  }

  #requestsInWindow (incarnation: string, requestsPerSecond: number): number {
    const hosts = Math.max(1, this.liveHosts())
    const each = Math.floor(requestsPerSecond / hosts)
    if (each >= 1) return each
    return hostDraw(this.host, incarnation) < DRAWN_SHARE * requestsPerSecond / hosts ? 1 : 0
  }
}
