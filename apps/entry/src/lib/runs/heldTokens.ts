import { tokenCount } from '@eelgrassmux/cache/blockKeys'
import type { RunRequest } from './RunTask.js'

/**
 * Tokens that a request holds while it is in flight.
 *
 * @param request - what was asked
 * @returns prompt and longest answer, in tokens
 */
export function heldTokens (request: RunRequest): number {
  return tokenCount(request.prompt) + request.maxTokens
}
