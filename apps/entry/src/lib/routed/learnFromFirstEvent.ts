/** What the time to a first event says of the endpoint, of the link that its prompt came over, and of the route. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { RoutedAttempt } from './RoutedAttempt.js'
import type { RoutedFleet } from './RoutedFleet.js'
import type { RoutedRequest } from './RoutedRequest.js'

/**
 * Share of the estimate beyond which a fetch, and not the engine, is what a first event
 * tells of: an engine must not be avoided for a store's slow link.
 */
const FETCHING_SHARE = 0.25

/**
 * @param fleet - where it is kept
 * @param request - whose first event has just come
 * @param attempt - that brought it
 */
export function learnFromFirstEvent (fleet: RoutedFleet, { route, service }: RoutedRequest, { choice, startedAt }: RoutedAttempt): void {
  const now = performance.now()
  const actualMs = now - startedAt
  const { endpoint, prefill: reading, workMs, estimatedMs, memoryWaitMs } = choice
  fleet.noteEstimate(estimatedMs, actualMs)
  learnOfLink(fleet, choice, actualMs, now)
  if (reading.fetchMs > workMs * FETCHING_SHARE) return
  if (fleet.isLoadKnown) fleet.engineModel(service.name).observe(choice.load, actualMs - reading.fetchMs - memoryWaitMs)
  endpoint.slowness.observe(actualMs, workMs, now)
  fleet.routeSlowness(route.name).observe(actualMs, estimatedMs, now)
}

/** What requests without a fetch have shown of the engine is not the link's fault. */
function learnOfLink (fleet: RoutedFleet, { endpoint, prefill: reading, workMs }: EndpointChoice, actualMs: number, now: number): void {
  const { slowest, fetchMs } = reading
  if (slowest === undefined) return
  const { transfer: { store, dataCentre }, doublings } = slowest
  const otherMs = (workMs - fetchMs) * endpoint.slowness.factor(now)
  fleet.storeLinks.observe(store, dataCentre, { fetchMs, otherMs, doublings }, actualMs, now)
}
