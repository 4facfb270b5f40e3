/** Decides whether a routed request is sent to the endpoint chosen for it, waits, or is refused. */
import { admitStream } from '@eelgrassmux/routing/admission/admitStream'
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { PromptContext } from './PromptContext.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** Decision about the request. */
export type RoutedAdmission =
  | { readonly kind: 'send', readonly isExpectedLate: boolean }
  /** No endpoint has capacity for the request at the moment, but one may soon. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse', readonly detail: string, readonly returnAfterMs: number }

/** Progress of the request. */
export interface AdmissionState {
  readonly prompt: PromptContext | undefined
  readonly hasFirstEvent: boolean
  /** Deadline of the request, in monotonic milliseconds. */
  readonly deadline: number
  /** Whether requests wait in the queue of all hosts. */
  readonly hasQueue: boolean
}

/**
 * Decides whether a request is sent. Requests without a prompt are sent, because full endpoints reject them at once.
 * A stream that has begun is always sent on.
 *
 * With the queue of all hosts, a stream waits for engine memory beyond its objective, because the queue ends the wait with
 * the caller's patience. What an endpoint has room for is sent although others wait: the room is too little for them, or
 * they would have been granted it. If it waited behind them, each request would wait because the one before it did.
 *
 * @param request - request to decide about
 * @param choice - best endpoint for it
 * @param fleet - state of the endpoints
 * @param state - progress of the request
 * @param now - monotonic milliseconds
 */
export function admitRouted (request: RoutedRequest, choice: EndpointChoice, fleet: RoutedPorts['fleet'], state: AdmissionState, now: number): RoutedAdmission {
  if (state.hasFirstEvent) return { kind: 'send', isExpectedLate: false }
  if (choice.version === undefined) return { kind: 'send', isExpectedLate: false }
  const waitedMs = now - request.arrivedAt
  // Without the load of the other hosts, estimates must not refuse or delay requests, but a request that is late already still gets a lower priority.
  if (!fleet.isLoadKnown) return { kind: 'send', isExpectedLate: waitedMs > request.route.targetLatencyMs }
  // Estimates count all load at an engine, but requests of urgent routes overtake part of it. The route's measured slowness corrects for that.
  const expectedMs = choice.estimatedMs * fleet.routeSlowness(request.route.name).factor(now)
  const ownMemoryShare = state.prompt?.memoryShareOf(choice) ?? 0
  const admission = admitStream(request.route, {
    waitedMs,
    estimatedMs: expectedMs,
    remainingMs: state.deadline - now,
    ownMemoryShare,
    memoryShare: choice.memoryShare,
    tokensToRead: choice.prefill.tokensToRead,
    tokensAhead: choice.load.tokensAhead,
    delaysStreams: choice.delaysStreamsEverywhere === true
  }, fleet.mechanisms.admission)
  if (admission.kind !== 'refuse') return admission
  if (admission.cause === 'engine-memory' && state.hasQueue) return { kind: 'wait' }
  const detail = admission.cause === 'engine-memory'
    ? `no engine has memory for ${Math.round(choice.tokensHeld)} tokens: the best, ${choice.endpoint.id}, would be ${Math.round(choice.memoryShare * 100)}% full`
    : `the first event would take ${Math.round(expectedMs)} ms at the best engine, ${choice.endpoint.id}`
  return { kind: 'refuse', detail, returnAfterMs: admission.retryAfterMs }
}
