/** Updates the timing models of the endpoint, the route and the store link with the time to a first event. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { observedPace, USUAL_PACE } from '@eelgrassmux/routing/endpoints/MachinePace'
import type { RoutedAttempt } from './RoutedAttempt.js'
import type { RoutedFleet } from './RoutedFleet.js'
import type { RoutedRequest } from './RoutedRequest.js'

/**
 * Largest share of the estimate that a fetch may take if the first event is to update the
 * models of engine and route. An engine must not be avoided because of a slow store link.
 */
const MAX_FETCH_SHARE = 0.25

/**
 * @param fleet - where the timing models are kept
 * @param request - request whose first event has just arrived
 * @param attempt - attempt that received the event
 */
export function learnFromFirstEvent (fleet: RoutedFleet, { route, service }: Pick<RoutedRequest, 'route' | 'service'>, { choice, startedAt }: Pick<RoutedAttempt, 'choice' | 'startedAt'>): void {
  const now = performance.now()
  const actualMs = now - startedAt
  const { endpoint, prefill: reading, workMs, estimatedMs, memoryWaitMs } = choice
  fleet.recordEstimateError(estimatedMs, actualMs)
  learnLinkSpeed(fleet, choice, actualMs, now)
  if (reading.fetchMs > workMs * MAX_FETCH_SHARE) return
  // The answer itself states how its machine worked, so stated slowness is not learnt a second time.
  const pace = choice.machinePace === undefined ? USUAL_PACE : observedPace(choice.machinePace, endpoint.paceStatements.newest(undefined, now), startedAt)
  const paceChange = pace / (choice.machinePace ?? USUAL_PACE)
  if (fleet.isLoadKnown) fleet.engineModel(service.name).observe(choice.load, (actualMs - reading.fetchMs) / pace - memoryWaitMs)
  endpoint.slowness.observe(actualMs, workMs + (workMs - reading.fetchMs) * (paceChange - 1), now)
  fleet.routeSlowness(route.name).observe(actualMs, estimatedMs, now)
}

/** Updates the speed of the store link. The engine's own share of the time, corrected by the slowness that it showed without fetches, is not attributed to the link. */
function learnLinkSpeed (fleet: RoutedFleet, { endpoint, prefill: reading, workMs }: EndpointChoice, actualMs: number, now: number): void {
  const { slowest, fetchMs } = reading
  if (slowest === undefined) return
  const { transfer: { store, dataCentre }, doublings } = slowest
  const otherMs = (workMs - fetchMs) * endpoint.slowness.factor(now)
  fleet.storeLinks.observe(store, dataCentre, { fetchMs, otherMs, doublings }, actualMs, now)
}
