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
 * Large requests wait for memory here and not in an engine (see {@link AdmissionLimits}),
 * and long ones for their turn to be read (likewise).
 */
import type { Route } from '@eelgrassmux/schema/site/siteSchema'

/** What becomes of a stream. */
export type StreamAdmission =
  | { readonly kind: 'send', readonly isExpectedLate: boolean }
  /** No engine has memory for it now; look again in a moment. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse', readonly cause: 'engine-memory' | 'wait', readonly retryAfterMs: number }

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
  /** Prompt tokens that the engine has to read for this request. */
  readonly tokensToRead: number
  /** Prompt tokens that it has to read before, for all hosts. */
  readonly tokensAhead: number
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

/** A request of which more tokens have to be read waits until its engine has read most of what is ahead; in tokens. */
const LONG_READ = 1500

/** Share of the objective within which a long request may wait for that. */
const READ_WAIT_SHARE = 0.8

/** Bounds of what is sent. */
export interface AdmissionLimits {
  /**
   * Share of an engine's memory up to which large requests are sent. Beyond it the
   * engine puts one off to make room and reads its whole prompt again later; that
   * reading slows all others, which then hold their memory longer. Kept below, the
   * same load runs through.
   */
  readonly memoryShare: number
  /**
   * Tokens that an engine may have ahead of it when a long request is sent there.
   * Engines read in the order in which requests began, so what is ahead is what an
   * urgent short request will have to wait for.
   */
  readonly tokensAhead: number
  /**
   * Tokens that an engine may have ahead of it, and share of its memory that may be in
   * use, when a long request is sent there that will be late anyway: what it would
   * delay can still be on time. After all hosts have restarted, a second's worth of
   * such requests arrives at once (196 of the next 314 were late on one day).
   */
  readonly lateTokensAhead: number
  readonly lateMemoryShare: number
}

/** In service: one long prompt ahead, some 150 ms; grounds of the shares as in docs/PLATFORM.md. */
export const ADMISSION_LIMITS: AdmissionLimits = { memoryShare: 0.85, tokensAhead: 12_000, lateTokensAhead: 3000, lateMemoryShare: 0.6 }

/** Share of the time for which a caller still waits that a late request may give way to others. */
const GIVE_WAY_SHARE = 0.6

/**
 * @param route - route of the request
 * @param situation - what is known
 * @param limits - bounds of what is sent
 */
export function admitStream (route: Route, situation: StreamSituation, limits = ADMISSION_LIMITS): StreamAdmission {
  const { waitedMs, estimatedMs, remainingMs, ownMemoryShare, memoryShare } = situation
  const firstEventMs = waitedMs + estimatedMs
  const awaitedMs = Math.min(callerPatienceMs(route) - waitedMs, remainingMs)
  const isLate = firstEventMs > route.targetLatencyMs * DOUBT
  const needsRoom = ownMemoryShare > LARGE_SHARE && memoryShare > limits.memoryShare
  // Alone on an engine it will never find more room than it has.
  const isAlone = memoryShare <= ownMemoryShare
  if (needsRoom && !isAlone) {
    return waitedMs < route.targetLatencyMs ? { kind: 'wait' } : { kind: 'refuse', cause: 'engine-memory', retryAfterMs: route.targetLatencyMs }
  }
  const isLongRead = situation.tokensToRead > LONG_READ && situation.tokensAhead > limits.tokensAhead
  if (isLongRead && firstEventMs < route.targetLatencyMs * READ_WAIT_SHARE) return { kind: 'wait' }
  if (isLate && isDeferred(situation, awaitedMs, limits)) return { kind: 'wait' }
  if (estimatedMs > awaitedMs * DOUBT) return { kind: 'refuse', cause: 'wait', retryAfterMs: estimatedMs - awaitedMs / 2 }
  return { kind: 'send', isExpectedLate: isLate }
}

/** A long request that is late waits while its engine has other work, as long as its caller will still be there. */
function isDeferred (situation: StreamSituation, awaitedMs: number, limits: AdmissionLimits): boolean {
  const { waitedMs, estimatedMs, tokensToRead, tokensAhead, memoryShare, ownMemoryShare } = situation
  if (tokensToRead <= LONG_READ || memoryShare <= ownMemoryShare) return false
  const isEngineBusy = tokensAhead > limits.lateTokensAhead || memoryShare > limits.lateMemoryShare
  return isEngineBusy && waitedMs + estimatedMs * DOUBT < (waitedMs + awaitedMs) * GIVE_WAY_SHARE
}
