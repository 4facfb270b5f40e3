/**
 * Limits what this host sends to endpoints that fail if they have to reject too many requests.
 *
 * The rejections that an endpoint tolerates are one number for all hosts together, and no host knows in time what the
 * others send. Each host therefore keeps to an equal share of the endpoint's slots; a hash selects the hosts that may
 * use the fractional part. Beyond its share a host sends only while half of the slots are free. After a rejection it
 * sends nothing for a time in which its share of the tolerated rejections is used up.
 */
import type { EndpointState } from './EndpointState.js'
import { hostHashFraction } from './hostHashFraction.js'

/** Span in which an endpoint counts rejections, in milliseconds. */
const WINDOW_MS = 1000

/** Time added to the window, in milliseconds: rejections of two windows may be closer together at the endpoint. */
const ARRIVAL_JITTER_MS = 100

/** Share of the tolerated rejections that is handed out; the rest covers hosts that happen to come back together. */
const REJECTIONS_SHARE = 0.5

/** Share of the slots that is handed out; the rest covers hosts that have just started. */
const SLOTS_SHARE = 0.9

/** Share of the slots below which races between hosts for a free one are rare. */
const ROOMY_SHARE = 0.5

/** Time after which a host that is held back looks at the endpoint again, in milliseconds. */
const RECHECK_MS = 50

/** Limits sends without any exchange between hosts. */
export class BrittleEndpointLimiter {
  /**
   * @param host - unique name of this host
   * @param liveHosts - returns the number of entry hosts that may be alive now
   */
  constructor (private readonly host: string, private readonly liveHosts: () => number) {}

  /**
   * @param endpoint - endpoint that may state how many rejections it tolerates
   * @param occupied - requests of all hosts at the endpoint, as far as is known
   * @param now - monotonic milliseconds
   * @returns monotonic milliseconds until which this host must not send the endpoint another request; undefined if it may now
   */
  heldBackUntil (endpoint: EndpointState, occupied: number, now: number): number | undefined {
    const { rejectionsPerSecond } = endpoint.brittleness
    if (rejectionsPerSecond === undefined) return undefined
    const until = this.#heldBackByRejectionUntil(endpoint, rejectionsPerSecond)
    if (until > now) return until
    const { slots } = endpoint.occupancy(now)
    const mostAtOnce = Math.max(1, Math.floor(this.#rejectionsOfThisHost(rejectionsPerSecond))) + endpoint.brittleness.accepted
    const hasRoom = endpoint.inFlight < this.#slotsOfThisHost(endpoint.incarnation, slots) || occupied < slots * ROOMY_SHARE
    return endpoint.inFlight < mostAtOnce && hasRoom ? undefined : now + RECHECK_MS
  }

  #heldBackByRejectionUntil ({ brittleness, incarnation }: EndpointState, rejectionsPerSecond: number): number {
    const share = this.#rejectionsOfThisHost(rejectionsPerSecond)
    const spanMs = (WINDOW_MS + ARRIVAL_JITTER_MS) / Math.min(1, share)
    // Hosts that were rejected at the same moment come back at different ones.
    const spread = 1 + hostHashFraction(this.host, incarnation)
    return brittleness.newest(Math.max(1, Math.floor(share))) + spanMs * spread
  }

  #rejectionsOfThisHost (rejectionsPerSecond: number): number {
    return rejectionsPerSecond * REJECTIONS_SHARE / this.#hosts
  }

  #slotsOfThisHost (incarnation: string, slots: number): number {
    const share = slots * SLOTS_SHARE / this.#hosts
    const whole = Math.floor(share)
    return hostHashFraction(this.host, incarnation) < share - whole ? whole + 1 : whole
  }

  get #hosts (): number { return Math.max(1, this.liveHosts()) }
}
