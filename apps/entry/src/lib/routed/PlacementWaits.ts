/** Waits of one request for an endpoint that can take it: for memory, or until one is not held back from this host any more. */
import type { EndpointChoice, NoEndpointReason } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { RoutedRequest } from './RoutedRequest.js'

/** Interval at which a request that waits for an engine's memory looks again, in milliseconds: in that time an engine makes some ten steps. */
const ROOM_LOOK_MS = 40

/** Shortest interval at which a request looks again for an endpoint that is not held back, in milliseconds. */
const HELD_LOOK_MS = 60

/** Shortest interval at which a stream that has begun looks again for an endpoint that takes the rest, in milliseconds. */
const RESUME_LOOK_MS = 100

/** Reasons that pass by themselves. */
const HELD_BACK: ReadonlySet<NoEndpointReason> = new Set(['all-cold', 'all-rate-limited', 'all-asked-to-pause', 'all-held-back'])

/**
 * @param reason - why no endpoint was chosen
 * @returns whether some endpoint is held back from this host for a time only
 */
export function isHeldBack (reason: NoEndpointReason): boolean {
  return HELD_BACK.has(reason)
}

/** What the waits need from the request's task. */
export interface PlacementWaitsPorts {
  /** Looks for an endpoint again. */
  placeAgain (): void
  /** Logs that the request waits for memory. */
  logWait (details: DecisionFields<'waits-for-room'>): void
  /** Logs that the stream waits for an endpoint that takes the rest. */
  logResumption (details: DecisionFields<'waits-to-resume'>): void
}

/** Looks again after a moment, as long as that is of use. */
export class PlacementWaits {
  #hasWaitedForRoom = false
  #hasWaitedToResume = false

  /**
   * @param request - that waits
   * @param ports - surroundings
   */
  constructor (private readonly request: RoutedRequest, private readonly ports: PlacementWaitsPorts) {}

  /** @param choice - the best engine, which has no memory for it now */
  waitForRoom ({ endpoint, memoryShare, tokensHeld, load }: EndpointChoice): void {
    if (!this.#hasWaitedForRoom) {
      this.ports.logWait({ endpoint: endpoint.id, memoryShare: Number(memoryShare.toFixed(2)), tokensHeld: Math.round(tokensHeld), tokensAhead: Math.round(load.tokensAhead) })
    }
    this.#hasWaitedForRoom = true
    setTimeout(() => { this.ports.placeAgain() }, ROOM_LOOK_MS)
  }

  /**
   * Waits while all endpoints that it may use are held back.
   *
   * @param until - monotonic milliseconds before which none is released
   * @param deadline - monotonic milliseconds at which its time is over
   * @returns false if it would be late
   */
  waitForRelease (until: number, deadline: number): boolean {
    const { arrivedAt, route } = this.request
    const now = performance.now()
    if (Math.max(now, until) >= Math.min(deadline, arrivedAt + route.targetLatencyMs)) return false
    setTimeout(() => { this.ports.placeAgain() }, Math.max(HELD_LOOK_MS, until - now))
    return true
  }

  /**
   * Waits with a stream that has begun: with its caller gone or its time over, nothing is left to wait for.
   *
   * @param until - monotonic milliseconds before which it can't go on
   * @param patienceEnds - monotonic milliseconds at which its caller leaves
   * @param goOn - called then; looks for an endpoint again unless given
   * @returns false if its caller would have left by then
   */
  waitToResume (until: number, patienceEnds: number, goOn: () => void = () => { this.ports.placeAgain() }): boolean {
    const now = performance.now()
    const at = Math.max(now + RESUME_LOOK_MS, until)
    if (at >= patienceEnds) return false
    if (!this.#hasWaitedToResume) this.ports.logResumption({ waitMs: Math.round(at - now), patienceMs: Math.round(patienceEnds - now) })
    this.#hasWaitedToResume = true
    setTimeout(goOn, at - now)
    return true
  }
}
