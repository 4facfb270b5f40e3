/** Updates the state of an endpoint from the head of a response. */
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { USUAL_PACE } from '@eelgrassmux/routing/endpoints/MachinePace'
import type { RoutedFleet } from './RoutedFleet.js'
import type { ResponseHead } from './RoutedAttempt.js'

/**
 * @param fleet - its features for hard load may come into use with a statement
 * @param endpoint - endpoint that responded
 * @param model - model that was requested; undefined for requests without a prompt
 * @param head - head of the response
 * @param now - monotonic milliseconds
 */
export function learnFromHead (fleet: Pick<RoutedFleet, 'features'>, endpoint: EndpointState, model: string | undefined, { fields }: ResponseHead, now: number): void {
  if (fields.load !== undefined) endpoint.observeLoad(fields.load, now)
  if ((fields.load?.paceFactor ?? USUAL_PACE) !== USUAL_PACE) fleet.features.observeSharedMachine()
  if (model !== undefined && fields.version !== undefined) endpoint.recordVersion(model, fields.version)
}
