/** Updates the state of an endpoint from the head of a response. */
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { ResponseHead } from './RoutedAttempt.js'

/**
 * @param endpoint - endpoint that responded
 * @param model - model that was requested; undefined for requests without a prompt
 * @param head - head of the response
 * @param now - monotonic milliseconds
 */
export function learnFromHead (endpoint: EndpointState, model: string | undefined, { fields }: ResponseHead, now: number): void {
  if (fields.load !== undefined) endpoint.observeLoad(fields.load, now)
  if (model !== undefined && fields.version !== undefined) endpoint.recordVersion(model, fields.version)
}
