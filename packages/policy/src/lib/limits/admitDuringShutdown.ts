/**
 * Whether a host that is stopping takes a request.
 *
 * Answers the load in which many hosts are stopped in turn: with half of them stopping,
 * the balancer falls back to all of them, and requests keep coming to a stopping host
 * until it is killed. What it takes it must be able to finish: a stream that is cut
 * costs its caller all the time until then. What it refuses another host can run.
 */

/** What a stopping host knows of a request and of its own time. */
export interface StoppingSituation {
  /** Milliseconds until the process is killed. */
  readonly timeToKillMs: number
  /** Milliseconds until the request's own time is over, by its route or its caller. */
  readonly remainingMs: number
  /** Milliseconds within which nine in ten such requests end, if known. */
  readonly expectedMs: number | undefined
  /** Whether the balancer has had the time to notice that the host is stopping. */
  readonly hasBalancerLagElapsed: boolean
}

/** Time before the kill that admission leaves free, in milliseconds: a signal is noticed late and an answer is written late by some tenths of a second on a busy host. */
const RESERVE_MS = 500

/**
 * Whoever comes after the balancer has noticed is only taken if the request's own time
 * ends before the process: estimates are wrong too often for a promise. Before that,
 * refusing everything long would turn callers away who could not know better, so that
 * what will probably end in time is taken, too.
 *
 * @param situation - what is known
 */
export function admitDuringShutdown (situation: StoppingSituation): boolean {
  const { timeToKillMs: leftMs, remainingMs, expectedMs, hasBalancerLagElapsed: isBalancerLagOver } = situation
  const usableMs = leftMs - RESERVE_MS
  if (remainingMs <= usableMs) return true
  if (isBalancerLagOver || usableMs <= 0) return false
  return expectedMs === undefined || expectedMs <= usableMs
}
