/**
 * Decides whether and how urgently a stream is sent to an engine, given its estimated wait.
 *
 * When the queues of engines are longer than the time that callers wait, serving them in
 * order makes every request late, and prompts are prefilled for callers that have left.
 * Three cases prevent this:
 * - A stream that can be on time is sent, ranked by customer and route.
 * - A stream that is late but whose caller still waits is sent behind all that can be on time.
 * - A stream that is later than any caller waits is refused at once, with the time after which to retry.
 *
 * Large requests wait for memory here instead of in an engine, and long ones wait here for
 * their prefill (see {@link AdmissionLimits}).
 */
import type { Route } from '@eelgrassmux/schema/site/siteSchema'

/** Decision on a stream. */
export type StreamAdmission =
  | { readonly kind: 'send', readonly isExpectedLate: boolean }
  /** The engine has no memory for the stream or too much to prefill now; admission is tried again shortly. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse', readonly cause: 'engine-memory' | 'wait', readonly retryAfterMs: number }

/** Estimates for a stream on the best engine for it. */
export interface StreamContext {
  /** Milliseconds since the request arrived. */
  readonly waitedMs: number
  /** Milliseconds from now until its first event. */
  readonly estimatedMs: number
  /** Milliseconds until the deadline of the request. */
  readonly remainingMs: number
  /** Share of the engine's memory that this request alone needs; 0 if unknown. */
  readonly ownMemoryShare: number
  /** Share of the engine's memory that is in use including this request; 0 if unknown. */
  readonly memoryShare: number
  /** Prompt tokens that the engine has to prefill for this request. */
  readonly tokensToRead: number
  /** Prompt tokens that the engine has to prefill before, for the requests of all hosts. */
  readonly tokensAhead: number
  /** Whether the prefill would push running streams over their longest pause at every engine that is an alternative to waiting. */
  readonly delaysStreams?: boolean
}

/** Callers leave a stream after the longest of a fixed gap, a multiple of its latency objective and a multiple of its longest pause. */
const MIN_CALLER_PATIENCE_MS = 2000
const PATIENCE_PER_OBJECTIVE = 4
const PATIENCE_PER_PAUSE = 8

/**
 * Factor by which an estimate may be wrong; on days of heavy load, the 75th percentile of the
 * error is about this. A stream counts as late, or as later than its caller waits, only beyond it.
 */
const ESTIMATE_TOLERANCE = 1.3

/**
 * @param route - route of the request
 * @returns milliseconds without an event after which its caller leaves
 */
export function callerPatienceMs (route: Route): number {
  return Math.max(MIN_CALLER_PATIENCE_MS, route.targetLatencyMs * PATIENCE_PER_OBJECTIVE, route.longestPauseMs * PATIENCE_PER_PAUSE)
}

/**
 * Share of an engine's memory from which a request waits for room. Smaller requests
 * always find room, because engines preempt large ones for them.
 */
const LARGE_MEMORY_SHARE = 0.05

/** Tokens to prefill from which a request waits until its engine has finished most of the prefill that is ahead. */
const LONG_PREFILL_TOKENS = 1500

/** Share of the latency objective for which a long request may wait for that. */
const PREFILL_WAIT_SHARE = 0.8

/**
 * Share of the latency objective within which a long request has to be expected to begin if it waits for the sake of
 * running streams. With 0.8, as for its own sake, long requests with a short objective (408 ms) became late by waiting.
 */
const STREAM_WAIT_SHARE = 0.5

/** Limits on the load of an engine beyond which streams wait. */
export interface AdmissionLimits {
  /**
   * Share of an engine's memory up to which large requests are sent. Beyond it, the
   * engine preempts a request to make room and prefills its whole prompt again later. This
   * prefill slows all other requests, which then hold their memory longer. Below the
   * limit, the engine serves the same load without preemption.
   */
  readonly memoryShare: number
  /**
   * Tokens that an engine may have ahead when a long request is sent to it. Engines
   * prefill in the order in which requests began, so an urgent short request has to
   * wait for all that is ahead.
   */
  readonly tokensAhead: number
  /**
   * Tokens that an engine may have ahead, and share of its memory that may be in use,
   * when a long request is sent to it that will be late anyway: the requests that it
   * would delay can still be on time. After all hosts have restarted, the late requests
   * of a whole second arrive at once (196 of the next 314 were late on one day).
   */
  readonly lateTokensAhead: number
  readonly lateMemoryShare: number
}

/** Limits in production: one long prompt ahead, some 150 ms; docs/PLATFORM.md gives the reasons for the shares. */
export const ADMISSION_LIMITS: AdmissionLimits = { memoryShare: 0.85, tokensAhead: 12_000, lateTokensAhead: 3000, lateMemoryShare: 0.6 }

/** Share of the time for which a caller still waits that a late request may spend waiting for others. */
const DEFERRAL_SHARE = 0.6

/**
 * @param route - route of the request
 * @param context - estimates for the stream
 * @param limits - limits on the load of an engine
 */
export function admitStream (route: Route, context: StreamContext, limits = ADMISSION_LIMITS): StreamAdmission {
  const { waitedMs, estimatedMs, remainingMs, ownMemoryShare, memoryShare } = context
  const firstEventMs = waitedMs + estimatedMs
  const patienceLeftMs = Math.min(callerPatienceMs(route) - waitedMs, remainingMs)
  const isLate = firstEventMs > route.targetLatencyMs * ESTIMATE_TOLERANCE
  const needsRoom = ownMemoryShare > LARGE_MEMORY_SHARE && memoryShare > limits.memoryShare
  // A request that is alone on an engine will never find more room than it has.
  const isAlone = memoryShare <= ownMemoryShare
  if (needsRoom && !isAlone) {
    return waitedMs < route.targetLatencyMs ? { kind: 'wait' } : { kind: 'refuse', cause: 'engine-memory', retryAfterMs: route.targetLatencyMs }
  }
  const exceedsPrefillBacklog = context.tokensToRead > LONG_PREFILL_TOKENS && context.tokensAhead > limits.tokensAhead
  if (exceedsPrefillBacklog && firstEventMs < route.targetLatencyMs * PREFILL_WAIT_SHARE) return { kind: 'wait' }
  if (context.delaysStreams === true && waitsForStreams(route, context, isLate, patienceLeftMs)) return { kind: 'wait' }
  if (isLate && isDeferred(context, patienceLeftMs, limits)) return { kind: 'wait' }
  if (estimatedMs > patienceLeftMs * ESTIMATE_TOLERANCE) return { kind: 'refuse', cause: 'wait', retryAfterMs: estimatedMs - patienceLeftMs / 2 }
  return { kind: 'send', isExpectedLate: isLate }
}

/**
 * Returns whether a long request waits because its prefill would make running streams late. It waits as long as it can
 * still be on time itself, or, once it is late, for part of the time for which its caller waits.
 */
function waitsForStreams (route: Route, { waitedMs, estimatedMs, tokensToRead }: StreamContext, isLate: boolean, patienceLeftMs: number): boolean {
  if (tokensToRead <= LONG_PREFILL_TOKENS) return false
  if (isLate) return waitedMs + estimatedMs * ESTIMATE_TOLERANCE < (waitedMs + patienceLeftMs) * DEFERRAL_SHARE
  return waitedMs + estimatedMs * ESTIMATE_TOLERANCE < route.targetLatencyMs * STREAM_WAIT_SHARE
}

/** Returns whether a long, late request waits because its engine has other work and its caller will still be there afterwards. */
function isDeferred (context: StreamContext, patienceLeftMs: number, limits: AdmissionLimits): boolean {
  const { waitedMs, estimatedMs, tokensToRead, tokensAhead, memoryShare, ownMemoryShare } = context
  if (tokensToRead <= LONG_PREFILL_TOKENS || memoryShare <= ownMemoryShare) return false
  const isEngineBusy = tokensAhead > limits.lateTokensAhead || memoryShare > limits.lateMemoryShare
  return isEngineBusy && waitedMs + estimatedMs * ESTIMATE_TOLERANCE < (waitedMs + patienceLeftMs) * DEFERRAL_SHARE
}
