/** Updates the state of an endpoint after a failed attempt. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { RoutedFleet } from './RoutedFleet.js'
import type { ResponseHead } from './RoutedAttempt.js'

/**
 * @param fleet - where outcomes are recorded
 * @param endpoint - endpoint of the attempt
 * @param failure - how the attempt failed
 * @param head - head of the response, if there was one
 */
export function learnFromFailure (fleet: RoutedFleet, endpoint: EndpointState, failure: AttemptFailure, head: ResponseHead | undefined): void {
  const now = performance.now()
  switch (failure) {
    case 'not-connected':
      fleet.recordOutcome(endpoint, 'unreachable')
      break
    case 'lost':
      fleet.recordOutcome(endpoint, 'failure')
      break
    case 'rejected':
      endpoint.observeRejection(now)
      endpoint.health.observeRejection(now)
      break
    case 'misdirected':
      if (head?.fields.instance !== undefined && head.fields.instance !== endpoint.id) endpoint.markLeaving()
      else endpoint.observeRejection(now)
      break
  }
}
