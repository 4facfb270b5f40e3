/** Refuses requests that a stopping host could not finish. */
import type { Refusal } from '@eelgrassmux/schema/Refusal'
import type { GracefulShutdown, RequestTimeEstimate } from '../GracefulShutdown.js'
import { refuseUndispatched } from './readBody.js'

const RETRY_AFTER_SECONDS = 1

/**
 * @param stop - shutdown of this host
 * @param request - expected duration of the request
 * @returns the refusal; undefined if this host can finish the request
 */
export function refuseWhileStopping (stop: GracefulShutdown, request: RequestTimeEstimate): Refusal | undefined {
  if (stop.admits(request)) return undefined
  return refuseUndispatched({
    reason: 'draining', status: 503, detail: 'this host is stopping and could not finish it; ask another', retryAfterSeconds: RETRY_AFTER_SECONDS
  })
}
