/**
 * Whether a stream is sent to an engine, and how urgently, once its wait is estimated.
 *
 * Answers the load in which engines' queues have grown past the time that counts:
 * served in order, every request is then late, and those whose callers have left
 * are read all the same. Three bands keep that from lasting:
 * - on time: sent, ranked by customer and route;
 * - late but still awaited: sent behind everything that can be on time;
 * - later than any caller waits: refused at once, with the time to come back.
 *
 * Large requests wait for memory here and not in an engine: see {@link MEMORY_LIMIT}.
 */
import type { Route } from '@eelgrassmux/schema/site/siteSchema'

/** What becomes of a stream. */
export type StreamAdmission =
  | { readonly kind: 'send', readonly isExpectedLate: boolean }
  /** No engine has memory for it now; look again in a moment. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse', readonly returnAfterMs: number }

/** What is known of a stream and of the best engine for it. */
export interface StreamSituation {
  /** Milliseconds since the request arrived. */
  readonly waitedMs: number
  /** Milliseconds until its first event, from now. */
  readonly estimatedMs: number
  /** Milliseconds until the request's time is over. */
  readonly remainingMs: number
  /** Share of the engine's memory that the request alone needs, 0 if unknown. */
  readonly ownMemoryShare: number
  /** Share of the engine's memory in use with this request; 0 if unknown. */
  readonly memoryShare: number
}

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
 * A request that needs more than this share of an engine's memory waits for room.
 * Smaller ones always find it: engines put the large ones off for them.
 */
const LARGE_SHARE = 0.05

/**
 * Share of an engine's memory up to which large requests are sent. Beyond it the
 * engine puts one off to make room and reads its whole prompt again later; that
 * reading slows all others, which then hold their memory longer. Kept below, the
 * same load runs through.
 */
const MEMORY_LIMIT = 0.85

/**
 * @param route - route of the request
 * @param situation - what is known
 */
export function admitStream (route: Route, situation: StreamSituation): StreamAdmission {
  const { waitedMs, estimatedMs, remainingMs, ownMemoryShare, memoryShare } = situation
  const firstEventMs = waitedMs + estimatedMs
  const awaitedMs = Math.min(callerPatienceMs(route), remainingMs)
  const needsRoom = ownMemoryShare > LARGE_SHARE && memoryShare > MEMORY_LIMIT
  // Alone on an engine it will never find more room than it has.
  const isAlone = memoryShare <= ownMemoryShare
  if (needsRoom && !isAlone) {
    return waitedMs < route.targetLatencyMs ? { kind: 'wait' } : { kind: 'refuse', returnAfterMs: route.targetLatencyMs }
  }
  if (estimatedMs > awaitedMs * DOUBT) return { kind: 'refuse', returnAfterMs: estimatedMs - awaitedMs / 2 }
  return { kind: 'send', isExpectedLate: firstEventMs > route.targetLatencyMs * DOUBT }
}
