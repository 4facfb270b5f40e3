/** When the caller of a refused request had better ask again. */
import { retryAfterMs } from '@eelgrassmux/routing/admission/retryAfter'
import type { RefusalReason } from '@eelgrassmux/schema/Refusal'

/** Longest pause before a caller of a stopping host asks another one, in milliseconds: spreads those that are sent away in one moment. */
const OTHER_HOST_SPREAD_MS = 100

const MILLISECONDS_PER_SECOND = 1000

/**
 * @param reason - why it was refused
 * @param wantedReturnMs - milliseconds after which a place is expected
 * @param remainingMs - milliseconds that the caller has left
 * @returns seconds
 */
export function pauseSeconds (reason: RefusalReason, wantedReturnMs: number, remainingMs: number): number {
  // No host has a place for it sooner, whatever time its caller has left.
  if (reason === 'request-quarantined') return Math.ceil(wantedReturnMs / MILLISECONDS_PER_SECOND)
  // Other hosts have places now; only callers of this one have to leave.
  const returnMs = reason === 'draining' ? Math.random() * OTHER_HOST_SPREAD_MS : retryAfterMs(wantedReturnMs, remainingMs, Math.random())
  return returnMs / MILLISECONDS_PER_SECOND
}
