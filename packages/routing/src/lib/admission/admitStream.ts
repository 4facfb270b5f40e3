/**
 * Whether a stream is sent to an engine, and how urgently, once its wait is estimated.
 *
 * Answers the load in which engines' queues have grown past the time that counts:
 * served in order, every request is then late, and those whose callers have left
 * are read all the same. Three bands keep that from lasting:
 * - on time: sent, ranked by customer and route;
 * - late but still awaited: sent behind everything that can be on time;
 * - later than any caller waits: refused at once, with the time to come back.
 */
import type { Route } from '@eelgrassmux/schema/site/siteSchema'

/** What becomes of a stream. */
export type StreamAdmission =
  | { readonly kind: 'send', readonly isExpectedLate: boolean }
  | { readonly kind: 'refuse', readonly returnAfterMs: number }

/** Callers leave a stream after the longest of these: a fixed gap, and multiples of its objective and its longest pause. */
const CALLER_GAP_MS = 2000
const CALLER_OBJECTIVES = 4
const CALLER_PAUSES = 8

/** Estimates are right to about this factor at the 75th percentile (runs on heavy days); what may still be awaited is sent. */
const DOUBT = 1.3

/**
 * @param route - route of the request
 * @returns milliseconds without an event after which its caller leaves
 */
export function callerPatienceMs (route: Route): number {
  return Math.max(CALLER_GAP_MS, route.targetLatencyMs * CALLER_OBJECTIVES, route.longestPauseMs * CALLER_PAUSES)
}

/**
 * @param route - route of the request
 * @param waitedMs - since the request arrived
 * @param estimatedMs - until its first event, from now
 * @param remainingMs - until the request's time is over
 */
export function admitStream (route: Route, waitedMs: number, estimatedMs: number, remainingMs: number): StreamAdmission {
  const firstEventMs = waitedMs + estimatedMs
  const awaitedMs = Math.min(callerPatienceMs(route), remainingMs)
  if (estimatedMs > awaitedMs * DOUBT) return { kind: 'refuse', returnAfterMs: estimatedMs - awaitedMs / 2 }
  return { kind: 'send', isExpectedLate: firstEventMs > route.targetLatencyMs * DOUBT }
}
