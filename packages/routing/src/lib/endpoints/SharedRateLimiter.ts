/**
 * This host's part of the rate that an endpoint names for all hosts together.
 *
 * The sum over all hosts has to hold although they don't know what the others send at this moment. Each host takes
 * an equal part of what the window allows. Where that is less than one request, or leaves a fraction, hashing draws
 * the hosts that may send one more, so that the expected sum is within the rate and no exchange is needed: neither a
 * new leader nor a partition changes anybody's part.
 */
import type { EndpointState } from './EndpointState.js'
import { hostDraw } from './hostDraw.js'

/** Window in which the rate is kept, in milliseconds. */
const WINDOW_MS = 4000

/** Added to the window, in milliseconds: requests of two windows may arrive closer together than they were sent. */
const ARRIVAL_SPREAD_MS = 300

/** Part of a fraction of a request that is dealt out; how many hosts the draw takes varies. */
const DRAWN_SHARE = 0.67

/** Time after which a host without any part asks an endpoint of which nothing more was learnt whether its limit still holds, in milliseconds. */
const UNCONFIRMED_MS = 30_000

const MILLISECONDS_PER_SECOND = 1000

/** Decides without any exchange. */
export class SharedRateLimiter {
  /**
   * @param host - name of this host, unlike those of all others
   * @param liveHosts - entry hosts that may be alive, as of now
   */
  constructor (private readonly host: string, private readonly liveHosts: () => number) {}

  /**
   * @param endpoint - that may name a rate
   * @param now - monotonic milliseconds
   * @returns until when this host may not send it another request, in monotonic milliseconds; undefined if it may now
   */
  heldBackUntil (endpoint: EndpointState, now: number): number | undefined {
    const { requestsPerSecond, statedAt } = endpoint.rateLimit
    if (requestsPerSecond === undefined) return undefined
    const share = this.#requestsInWindow(endpoint.incarnation, requestsPerSecond)
    const until = share > 0
      ? endpoint.sends.newest(share) + WINDOW_MS + ARRIVAL_SPREAD_MS
      : Math.max(statedAt, endpoint.sends.newest(1)) + UNCONFIRMED_MS * (1 + hostDraw(this.host, endpoint.incarnation))
    return until > now ? until : undefined
  }

  #requestsInWindow (incarnation: string, requestsPerSecond: number): number {
    const each = requestsPerSecond * WINDOW_MS / MILLISECONDS_PER_SECOND / Math.max(1, this.liveHosts())
    const whole = Math.floor(each)
    return hostDraw(this.host, incarnation) < DRAWN_SHARE * (each - whole) ? whole + 1 : whole
  }
}
