/** What an endpoint is told with a request. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { PromptContext } from './PromptContext.js'
import type { EndpointFields } from './RequestCodec.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** How far the request is. */
export interface SendState {
  readonly prompt: PromptContext | undefined
  readonly lastEventId: number | undefined
  /** Monotonic milliseconds. */
  readonly deadline: number
  readonly isExpectedLate: boolean
}

/**
 * @param request - what is asked
 * @param choice - where it goes
 * @param fleet - ranks requests at engines
 * @param state - how far it is
 * @param now - monotonic milliseconds
 */
export function endpointFields (request: RoutedRequest, choice: EndpointChoice, fleet: RoutedPorts['fleet'], state: SendState, now: number): EndpointFields {
  const { customer, route } = request
  const { endpoint, version } = choice
  const common = { instance: endpoint.id, remainingMs: Math.max(1, Math.floor(state.deadline - now)), customer: customer?.name, lastEventId: state.lastEventId, version }
  // What follows is for engines only.
  if (version === undefined) return { ...common, priority: undefined, cacheSalt: undefined, stores: undefined }
  return {
    ...common,
    priority: fleet.mechanisms.engineRank(customer?.priority, route.priority, state.isExpectedLate),
    cacheSalt: state.prompt?.scope(version),
    stores: state.prompt?.transfers(choice, version, state.deadline)
  }
}
