/** Decides how long a request may wait for its turn on a host that has more requests than it can begin. */

/** Longest expected wait, in milliseconds; another host is a better place for a request that would wait longer. */
const MAX_EXPECTED_MS = 2000

/** Largest share of the caller's deadline that a request may wait, so that the rest is enough for a response. */
const MAX_WAIT_SHARE = 0.5

/** Expected wait from which a host counts as busier than others, in milliseconds; a turn of the event loop is a few milliseconds. */
const BEHIND_MS = 40

/**
 * @param expectedMs - time until the requests that arrived earlier have begun, in milliseconds
 * @param deadlineMs - how long the caller waits, in milliseconds; undefined if it states no limit
 * @returns whether a request that has just arrived may wait for its turn; otherwise it is refused at once
 */
export function mayWaitForTurn (expectedMs: number, deadlineMs: number | undefined): boolean {
  return expectedMs <= MAX_EXPECTED_MS && isInTimeForTurn(expectedMs, deadlineMs)
}

/**
 * @param waitedMs - how long a request has waited for its turn, in milliseconds
 * @param deadlineMs - how long the caller waits, in milliseconds; undefined if it states no limit
 * @returns whether the caller still has enough time to begin the request
 */
export function isInTimeForTurn (waitedMs: number, deadlineMs: number | undefined): boolean {
  return deadlineMs === undefined || waitedMs <= deadlineMs * MAX_WAIT_SHARE
}

/**
 * @param expectedMs - time until the requests that have arrived have begun, in milliseconds
 * @returns whether a host has more requests than it can begin
 */
export function isBehindWithTurns (expectedMs: number): boolean {
  return expectedMs > BEHIND_MS
}
