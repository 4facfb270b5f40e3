/**
 * Limits the rejections that this host causes at endpoints that fall over if they have to reject too many.
 *
 * The number that an endpoint bears is one for all hosts together, and no host knows of the rejections of the others
 * in time. Each takes an equal share. Where that is less than one a second, a hash selects the hosts that may send
 * without knowing of a free place; the others keep to endpoints with one.
 */
import type { EndpointState } from './EndpointState.js'
import { hostHashFraction } from './hostHashFraction.js'

/** Span in which an endpoint counts rejections, in milliseconds. */
const WINDOW_MS = 1000

/** Time added to the window, in milliseconds: rejections of two windows may be closer together at the endpoint. */
const ARRIVAL_JITTER_MS = 100

/** Share of the bound that is handed out, because the number of hosts that the hash selects varies. */
const HANDED_OUT_SHARE = 0.67

/** Time after which a host that is held back looks at the endpoint again, in milliseconds. */
const RECHECK_MS = 50

/** Limits rejections without any exchange between hosts. */
export class BrittleEndpointLimiter {
  /**
   * @param host - unique name of this host
   * @param liveHosts - returns the number of entry hosts that may be alive now
   */
  constructor (private readonly host: string, private readonly liveHosts: () => number) {}

  /**
   * @param endpoint - endpoint that may state how many rejections it bears
   * @param occupied - requests of all hosts at the endpoint, as far as is known
   * @param now - monotonic milliseconds
   * @returns monotonic milliseconds until which this host must not send the endpoint another request; undefined if it may now
   */
  heldBackUntil (endpoint: EndpointState, occupied: number, now: number): number | undefined {
    const { brittleness, incarnation } = endpoint
    if (brittleness.rejectionsPerSecond === undefined) return undefined
    const share = brittleness.rejectionsPerSecond * HANDED_OUT_SHARE / Math.max(1, this.liveHosts())
    const mayRisk = share >= 1 || hostHashFraction(this.host, incarnation) < share
    if (!mayRisk && occupied >= endpoint.occupancy(now).slots) return now + RECHECK_MS
    const until = brittleness.newest(Math.max(1, Math.floor(share))) + WINDOW_MS + ARRIVAL_JITTER_MS
    return until > now ? until : undefined
  }
}
