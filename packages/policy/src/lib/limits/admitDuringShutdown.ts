/**
 * Decides whether a host that is shutting down admits a request.
 *
 * Matters in a rolling restart: once half of the hosts are shutting down, the
 * balancer falls back to all hosts, so a host gets requests until it is killed.
 * The host must be able to finish every request that it admits, because the caller
 * of a stream that is cut loses all the time spent on it. Another host can run the
 * requests that it refuses.
 */

/** What a host that is shutting down knows about a request and its own remaining time. */
export interface ShutdownContext {
  /** Milliseconds until the process is killed. */
  readonly timeToKillMs: number
  /** Milliseconds until the request's own deadline, set by its route or its caller. */
  readonly remainingMs: number
  /** 90th percentile of the duration of such requests in milliseconds, if known. */
  readonly expectedMs: number | undefined
  /** Whether the balancer has had time to notice that the host is shutting down. */
  readonly hasBalancerLagElapsed: boolean
}

/** Time before the kill that must stay free: a busy host handles signals and writes answers some tenths of a second late. */
const SHUTDOWN_RESERVE_MS = 500

/**
 * Admits every request whose deadline is before the kill. Other requests are admitted
 * only until the balancer has noticed the shutdown, if they are expected to end in time
 * or their duration is unknown: until then, callers cannot avoid this host. Afterwards
 * the deadline alone decides, because estimates are wrong too often to rely on.
 *
 * @param context - remaining times of host and request
 */
export function admitDuringShutdown (context: ShutdownContext): boolean {
  const { timeToKillMs, remainingMs, expectedMs, hasBalancerLagElapsed } = context
  const usableMs = timeToKillMs - SHUTDOWN_RESERVE_MS
  if (remainingMs <= usableMs) return true
  if (hasBalancerLagElapsed || usableMs <= 0) return false
  return expectedMs === undefined || expectedMs <= usableMs
}
