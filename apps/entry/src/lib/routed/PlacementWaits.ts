/** Waits of one request for an endpoint that can take it: for memory, or for its turn at endpoints that are cold. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointAsk'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { RoutedRequest } from './RoutedRequest.js'

/** Interval at which a request that waits for an engine's memory looks again, in milliseconds: in that time an engine makes some ten steps. */
const ROOM_LOOK_MS = 40

/** Interval at which a request looks again for an endpoint that is not cold, or whose turn has come, in milliseconds. */
const COLD_LOOK_MS = 60

/** What the waits need from the request's task. */
export interface PlacementWaitsPorts {
  /** Looks for an endpoint again. */
  placeAgain (): void
  /** Logs that the request waits for memory. */
  logWait (details: DecisionFields<'waits-for-room'>): void
}

/** Looks again after a moment, as long as that is of use. */
export class PlacementWaits {
  #hasWaitedForRoom = false

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
   * Waits while all endpoints that it may use are cold.
   *
   * @param deadline - monotonic milliseconds at which its time is over
   * @returns false if it would be late
   */
  waitForWarmEndpoint (deadline: number): boolean {
    const { arrivedAt, route } = this.request
    if (performance.now() >= Math.min(deadline, arrivedAt + route.targetLatencyMs)) return false
    setTimeout(() => { this.ports.placeAgain() }, COLD_LOOK_MS)
    return true
  }
}
