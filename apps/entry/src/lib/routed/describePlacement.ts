/** Log fields that describe why a request was sent to its endpoint. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { PromptContext } from './PromptContext.js'
import type { RoutedRequest } from './RoutedRequest.js'

/**
 * @param choice - endpoint that responded, with the estimates for it
 * @param request - request that was sent
 * @param prompt - its prompt, if it has one
 * @param firstEventMs - milliseconds until the first event, if there were events
 */
export function describePlacement (
  choice: EndpointChoice, request: RoutedRequest, prompt: PromptContext | undefined, firstEventMs: number | undefined
): Omit<DecisionFields<'answered'>, 'status' | 'endpoint'> {
  const { estimatedMs, waitMs, prefill: reading, version, machinePace, delayedStreams } = choice
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
    ...(machinePace === undefined ? {} : { machinePace: Number(machinePace.toFixed(2)) }),
    ...(delayedStreams === undefined ? {} : { delayedStreams: Number(delayedStreams.toFixed(2)) }),
    ...(version === undefined ? {} : prompt?.describe(version))
  }
}
