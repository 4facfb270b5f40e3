/**
 * Limits this host to its share of the request rate that an endpoint states for all hosts together.
 *
 * The sum over all hosts has to hold although no host knows what the others send at the moment. Each host takes an
 * equal share of what the window allows. Where the share is less than one request, or has a fractional part, a hash
 * selects the hosts that may send one more, so that the expected sum stays within the rate and no exchange is needed.
 * A new leader or a partition therefore changes no host's share.
 */
import type { EndpointState } from './EndpointState.js'
import { hostHashFraction } from './hostHashFraction.js'

/** Window for which the rate holds, in milliseconds. */
const WINDOW_MS = 4000

/** Time added to the window, in milliseconds: requests of two windows may arrive closer together than they were sent. */
const ARRIVAL_JITTER_MS = 300

/** Share of the fractional part that is handed out, because the number of hosts that the hash selects varies. */
const SELECTED_SHARE = 0.67

/** Time after the last statement of a limit from which a host with no share sends a request to find out whether the limit still holds, in milliseconds. */
const PROBE_INTERVAL_MS = 30_000

const MILLISECONDS_PER_SECOND = 1000

/** Limits sends without any exchange between hosts. */
export class SharedRateLimiter {
  /**
   * @param host - unique name of this host
   * @param liveHosts - returns the number of entry hosts that may be alive now
   */
  constructor (private readonly host: string, private readonly liveHosts: () => number) {}

  /**
   * @param endpoint - endpoint that may state a rate limit
   * @param now - monotonic milliseconds
   * @returns monotonic milliseconds until which this host must not send the endpoint another request; undefined if it may now
   */
  heldBackUntil (endpoint: EndpointState, now: number): number | undefined {
    const { requestsPerSecond, statedAt } = endpoint.rateLimit
    if (requestsPerSecond === undefined) return undefined
    const share = this.#requestsInWindow(endpoint.incarnation, requestsPerSecond)
    const until = share > 0
      ? endpoint.sends.newest(share) + WINDOW_MS + ARRIVAL_JITTER_MS
      : Math.max(statedAt, endpoint.sends.newest(1)) + PROBE_INTERVAL_MS * (1 + hostHashFraction(this.host, endpoint.incarnation))
    return until > now ? until : undefined
  }

  #requestsInWindow (incarnation: string, requestsPerSecond: number): number {
    const perHost = requestsPerSecond * WINDOW_MS / MILLISECONDS_PER_SECOND / Math.max(1, this.liveHosts())
    const whole = Math.floor(perHost)
    return hostHashFraction(this.host, incarnation) < SELECTED_SHARE * (perHost - whole) ? whole + 1 : whole
  }
}
