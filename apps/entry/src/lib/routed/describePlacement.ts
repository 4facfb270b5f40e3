/** What decided where a request went, for its line. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { PromptContext } from './PromptContext.js'
import type { RoutedRequest } from './RoutedRequest.js'

/**
 * @param choice - endpoint that answered, with the estimates that chose it
 * @param request - the request
 * @param prompt - its prompt, if it has one
 * @param firstEventMs - milliseconds until its first event, if there were events
 */
export function describePlacement (
  choice: EndpointChoice, request: RoutedRequest, prompt: PromptContext | undefined, firstEventMs: number | undefined
): Omit<DecisionFields<'answered'>, 'status' | 'endpoint'> {
  const { estimatedMs, waitMs, prefill: reading, version } = choice
  return {
    estimatedMs: Math.round(estimatedMs),
    waitMs: Math.round(waitMs),
    fetchMs: Math.round(reading.fetchMs),
    tokensToRead: Math.round(reading.tokensToRead),
    partsFromStores: reading.partsFromStores,
    linkDoublings: Number((reading.slowest?.doublings ?? 0).toFixed(2)),
    version: version ?? 0,
    firstEventMs: Math.round(firstEventMs ?? 0),
    promptTokens: request.fields.prompt?.promptTokens ?? 0,
    ...(version === undefined ? {} : prompt?.describe(version))
  }
}
