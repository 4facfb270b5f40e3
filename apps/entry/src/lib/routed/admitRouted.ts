/** Whether a routed request is sent to the endpoint chosen for it, waits, or is refused. */
import { admitStream } from '@eelgrassmux/routing/admission/admitStream'
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { PromptContext } from './PromptContext.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** What becomes of the request now. */
export type RoutedAdmission =
  | { readonly kind: 'send', readonly isExpectedLate: boolean }
  /** An engine may have room for it in a moment. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse', readonly detail: string, readonly returnAfterMs: number }

/** How far the request is. */
export interface AdmissionState {
  readonly prompt: PromptContext | undefined
  readonly hasFirstEvent: boolean
  /** Monotonic milliseconds. */
  readonly deadline: number
}

/**
 * Plain requests are always sent; endpoints that are full say so at once. A stream that has begun goes on.
 *
 * @param request - what is asked
 * @param choice - the best endpoint for it
 * @param fleet - what is known of endpoints
 * @param state - how far it is
 * @param now - monotonic milliseconds
 */
export function admitRouted (request: RoutedRequest, choice: EndpointChoice, fleet: RoutedPorts['fleet'], state: AdmissionState, now: number): RoutedAdmission {
  if (choice.version === undefined || state.hasFirstEvent) return { kind: 'send', isExpectedLate: false }
  const waitedMs = now - request.arrivedAt
  // Without the others' work no estimate may refuse or hold, but what is late already gives way all the same.
  if (!fleet.isLoadKnown) return { kind: 'send', isExpectedLate: waitedMs > request.route.targetLatencyMs }
  // Estimates count all work at an engine; urgent routes overtake much of it, and how much shows in their outcomes.
  const expectedMs = choice.estimatedMs * fleet.routeSlowness(request.route.name).factor(now)
  const admission = admitStream(request.route, {
    waitedMs,
    estimatedMs: expectedMs,
    remainingMs: state.deadline - now,
    ownMemoryShare: state.prompt?.memoryShareOf(choice) ?? 0,
    memoryShare: choice.memoryShare,
    tokensToRead: choice.prefill.tokensToRead,
    tokensAhead: choice.load.tokensAhead
  }, fleet.mechanisms.admission)
  if (admission.kind !== 'refuse') return admission
  const detail = admission.cause === 'engine-memory'
    ? `no engine has memory for ${Math.round(choice.tokensHeld)} tokens: the best, ${choice.endpoint.id}, would be ${Math.round(choice.memoryShare * 100)}% full`
    : `the first event would take ${Math.round(expectedMs)} ms at the best engine, ${choice.endpoint.id}`
  return { kind: 'refuse', detail, returnAfterMs: admission.retryAfterMs }
}
