/** Fields that are sent to an endpoint with a request. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { PromptContext } from './PromptContext.js'
import type { EndpointFields } from './RequestCodec.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** Progress of the request. */
export interface SendState {
  readonly prompt: PromptContext | undefined
  readonly lastEventId: number | undefined
  /** Deadline of the request, in monotonic milliseconds. */
  readonly deadline: number
  readonly isExpectedLate: boolean
  /** Id of a reservation at the engine. */
  readonly reservation?: string | undefined
}

/**
 * @param request - request to send
 * @param choice - endpoint that was chosen
 * @param fleet - ranks requests at engines
 * @param state - progress of the request
 * @param now - monotonic milliseconds
 */
export function endpointFields (request: RoutedRequest, choice: EndpointChoice, fleet: RoutedPorts['fleet'], state: SendState, now: number): EndpointFields {
  const { customer, route } = request
  const { endpoint, version } = choice
  const common = { instance: endpoint.id, remainingMs: Math.max(1, Math.floor(state.deadline - now)), customer: customer?.name, lastEventId: state.lastEventId, version }
  // The remaining fields are for engines only.
  if (version === undefined) return { ...common, priority: undefined, cacheSalt: undefined, stores: undefined }
  return {
    ...common,
    priority: fleet.mechanisms.engineRank(customer?.priority, route.priority, state.isExpectedLate),
    cacheSalt: state.prompt?.scope(version),
    ...(state.reservation === undefined ? {} : { reservation: state.reservation }),
    stores: state.prompt?.transfers(choice, version, state.deadline)
  }
}
