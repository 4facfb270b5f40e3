/** How long requests are suspected and quarantined. */

const MINUTE_MS = 60_000

/**
 * Time for which an endpoint's crash counts against the requests that were there, in milliseconds. Shorter than
 * the shortest quarantine, so that what led to one can't lead to the next.
 */
export const EVIDENCE_LIFETIME_MS = 10 * MINUTE_MS

/** How long a suspicion holds, in milliseconds; if its crashes still count then, it is made anew. */
export const SUSPICION_DURATION_MS = MINUTE_MS

/** The first quarantine of a request, in milliseconds: time to look at what it ran on. Each further one lasts twice as long. */
export const FIRST_QUARANTINE_MS = 15 * MINUTE_MS

/** The longest one, in milliseconds. */
export const MAX_QUARANTINE_MS = 24 * 60 * MINUTE_MS

/**
 * @param earlier - how many times the request was quarantined before
 * @returns how long to quarantine it now, in milliseconds
 */
export function quarantineDurationMs (earlier: number): number {
  return Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** earlier)
}
