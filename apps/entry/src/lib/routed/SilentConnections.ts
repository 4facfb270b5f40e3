/**
 * Finds connections to endpoints that may have gone silent: open ones can stop carrying anything, without a reset, while new ones work.
 *
 * An endpoint that does not respond may hang, or only the connections to it may be silent. Requests go on over connections
 * that have carried something since, also if the endpoint answers others again. If several endpoints of a service stop
 * responding at the same moment, all idle connections to the service from before are closed, of which each would otherwise
 * lose one more request.
 */
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { RoutedFleet } from './RoutedFleet.js'

/** Time without a byte from which an endpoint may have fallen silent together with one that counts as silent, in milliseconds; half of the time for that. */
const NEARLY_SILENT_MS = 450

/** Time for which the result of a search holds, in milliseconds; many requests notice the same silence. */
const SEARCH_LIFETIME_MS = 50

interface Search {
  readonly at: number
  readonly silentSince: number
}

/** Connections of one host. */
export class SilentConnections {
  readonly #searches = new Map<string, Search>()

  /**
   * @param fleet - endpoints, and connections to them
   * @param telemetry - log
   */
  constructor (private readonly fleet: Pick<RoutedFleet, 'endpointsOf' | 'connectionsTo'>, private readonly telemetry: Telemetry) {}

  /**
   * Doubts connections in use that carry nothing, and closes idle ones that may be silent too. Call it when an endpoint does not respond.
   *
   * @param endpoint - endpoint that does not respond
   * @param now - monotonic milliseconds
   * @returns since when a connection must have carried something to be trusted, in monotonic milliseconds
   */
  observeSilence (endpoint: EndpointState, now: number): number {
    const { service } = endpoint.listed
    const last = this.#searches.get(service)
    if (last !== undefined && now - last.at < SEARCH_LIFETIME_MS) {
      this.fleet.connectionsTo(endpoint).doubt(last.silentSince)
      return last.silentSince
    }
    const endpoints = this.fleet.endpointsOf(service)
    // What runs at endpoints that respond is merely slow.
    const silent = endpoints.filter(each => each === endpoint || each.unansweredMs(now) > NEARLY_SILENT_MS)
    const silentSince = now - Math.min(...silent.map(each => each.unansweredMs(now)))
    this.#searches.set(service, { at: now, silentSince })
    for (const each of silent) this.fleet.connectionsTo(each).doubt(silentSince)
    const closed = (silent.length > 1 ? endpoints : silent).reduce((sum, each) => sum + this.fleet.connectionsTo(each).closeIdleSince(silentSince), 0)
    if (closed > 0) this.telemetry.logStateChange('idle-connections-doubted', { service, endpoint: endpoint.id, silentEndpoints: silent.length, silentForMs: Math.round(now - silentSince), closed })
    return silentSince
  }
}
