/** What the head of an answer says of its endpoint. */
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { AnswerHead } from './RoutedAttempt.js'

/**
 * @param endpoint - that answers
 * @param model - that was asked for; undefined for plain requests
 * @param head - of the answer
 * @param now - monotonic milliseconds
 */
export function learnFromHead (endpoint: EndpointState, model: string | undefined, { fields }: AnswerHead, now: number): void {
  if (fields.load !== undefined) endpoint.observeLoad(fields.load, now)
  if (model !== undefined && fields.version !== undefined) endpoint.recordVersion(model, fields.version)
}
