/** Learns the pauses between the events of a running stream, for predictions at other engines of its service. */
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { StreamConditions } from '@eelgrassmux/routing/endpoints/StreamPaceModel'
import type { RoutedFleet } from './RoutedFleet.js'
import type { RoutedRequest } from './RoutedRequest.js'

/** Time within which bytes belong to the same event, in milliseconds; a step of an engine takes longer. */
const SAME_EVENT_MS = 1

interface LastEvent {
  readonly endpoint: EndpointState
  readonly at: number
  readonly conditions: StreamConditions
}

/** Pauses of one stream. */
export class StreamPauses {
  #last: LastEvent | undefined

  /**
   * @param fleet - where the model of the service is kept
   * @param request - request that the stream answers
   */
  constructor (
    private readonly fleet: Pick<RoutedFleet, 'features' | 'otherHostsLoad' | 'engineModel' | 'streamPaceModel' | 'countPause'>,
    private readonly request: Pick<RoutedRequest, 'route' | 'service'>
  ) {}

  /**
   * @param endpoint - engine from which the event came
   * @param now - monotonic milliseconds
   */
  observeEvent (endpoint: EndpointState, now: number): void {
    if (!this.fleet.features.isEnabled('stream-pace')) return
    const last = this.#last
    if (last !== undefined && now - last.at < SAME_EVENT_MS) return
    const { otherHostsLoad } = this.fleet
    if (!otherHostsLoad.isRecent(now)) {
      this.#last = undefined
      return
    }
    const others = otherHostsLoad.forEndpoint(endpoint.incarnation)
    const tokensAhead = endpoint.pendingTokens + others.pendingTokens
    const conditions = { prefillMs: this.fleet.engineModel(this.request.service.name).waitMs({ tokensAhead, requests: 0 }), requests: endpoint.inFlight + others.inFlight }
    this.#last = { endpoint, at: now, conditions }
    if (last?.endpoint !== endpoint) return
    const { longestPauseMs } = this.request.route
    if (longestPauseMs > 0) this.fleet.countPause(now - last.at > longestPauseMs ? 'late' : 'in-time')
    // The load during the pause is known only at its ends. A prompt that was there at either of them was prefilled during the pause.
    const prefillMs = Math.max(last.conditions.prefillMs, conditions.prefillMs)
    this.fleet.streamPaceModel(this.request.service.name).observe({ prefillMs, requests: last.conditions.requests }, (now - last.at) / this.#pace(endpoint, now))
  }

  #pace (endpoint: EndpointState, now: number): number {
    return this.fleet.features.isEnabled('machine-pace') ? endpoint.machinePace(now, this.fleet.otherHostsLoad.paceOf(endpoint.incarnation)) : 1
  }
}
