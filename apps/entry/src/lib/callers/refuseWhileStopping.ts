/** Refusal of requests that a stopping host could not finish. */
import type { Refusal } from '@eelgrassmux/schema/Refusal'
import type { GracefulShutdown, RequestTime } from '../GracefulShutdown.js'
import { refuseUnseen } from './readBody.js'

/** Pause before another host is asked, in seconds. */
const ASK_AGAIN_SECONDS = 1

/**
 * @param stop - stop of this host
 * @param request - how long it may take
 * @returns why it is refused; undefined if this host can take it
 */
export function refuseWhileStopping (stop: GracefulShutdown, request: RequestTime): Refusal | undefined {
  if (stop.admits(request)) return undefined
  return refuseUnseen({
    reason: 'draining', status: 503, detail: 'this host is stopping and could not finish it; ask another', retryAfterSeconds: ASK_AGAIN_SECONDS
  })
}
