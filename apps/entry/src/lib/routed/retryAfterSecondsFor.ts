/** When the caller of a refused request should retry. */
import { retryAfterMs } from '@eelgrassmux/routing/admission/retryAfter'
import type { RefusalReason } from '@eelgrassmux/schema/Refusal'

/** Longest Retry-After of a host that is stopping or partitioned from the endpoints, in milliseconds. The random value spreads the retries of callers that are refused at the same moment. */
const MAX_DRAINING_RETRY_MS = 100

const MILLISECONDS_PER_SECOND = 1000

/**
 * @param reason - why the request was refused
 * @param expectedFreeInMs - milliseconds after which capacity is expected
 * @param remainingMs - milliseconds until the deadline
 * @returns value of Retry-After, in seconds
 */
export function retryAfterSecondsFor (reason: RefusalReason, expectedFreeInMs: number, remainingMs: number): number {
  // No host accepts the request earlier, however little time the caller has left.
  if (reason === 'request-quarantined') return Math.ceil(expectedFreeInMs / MILLISECONDS_PER_SECOND)
  // Other hosts have capacity now, so the caller may retry there almost at once.
  const returnMs = reason === 'draining' || reason === 'endpoints-out-of-reach' ? Math.random() * MAX_DRAINING_RETRY_MS : retryAfterMs(expectedFreeInMs, remainingMs, Math.random())
  return returnMs / MILLISECONDS_PER_SECOND
}
