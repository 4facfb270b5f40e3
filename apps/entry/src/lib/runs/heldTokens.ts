import { tokenCount } from '@eelgrassmux/cache/blockKeys'
import type { RunRequest } from './RunTask.js'

/**
 * Returns the tokens that a request holds while it is in flight.
 *
 * @param request - request of the caller
 * @returns tokens of the prompt plus the maximum length of the answer
 */
export function heldTokens (request: RunRequest): number {
  return tokenCount(request.prompt) + request.maxTokens
}
