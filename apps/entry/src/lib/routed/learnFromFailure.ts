/** What a failed attempt says of its endpoint. */
import type { AttemptFailure } from '@eelgrassmux/routing/attempts/decideRetry'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { RoutedFleet } from './RoutedFleet.js'
import type { AnswerHead } from './RoutedAttempt.js'

/**
 * @param fleet - where outcomes are counted
 * @param endpoint - endpoint of the attempt
 * @param failure - how it failed
 * @param head - head of the answer, if there was one
 */
export function learnFromFailure (fleet: RoutedFleet, endpoint: EndpointState, failure: AttemptFailure, head: AnswerHead | undefined): void {
  const now = performance.now()
  switch (failure) {
    case 'not-connected':
      fleet.observe(endpoint, 'unreachable')
      break
    case 'lost':
      fleet.observe(endpoint, 'failure')
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
