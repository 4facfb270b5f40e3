/** Durations of suspicions and quarantines. */

const MINUTE_MS = 60_000

/**
 * Time for which a crash counts as evidence against the requests that were at the endpoint, in milliseconds.
 * It is shorter than the shortest quarantine, so that evidence for one quarantine can't lead to the next.
 */
export const EVIDENCE_LIFETIME_MS = 10 * MINUTE_MS

/** Duration of a suspicion, in milliseconds. It is renewed if its crashes still count as evidence. */
export const SUSPICION_DURATION_MS = MINUTE_MS

/** Duration of the first quarantine of a request, in milliseconds. It gives operators time to investigate; each further quarantine lasts twice as long. */
export const FIRST_QUARANTINE_MS = 15 * MINUTE_MS

/** Longest quarantine, in milliseconds. */
export const MAX_QUARANTINE_MS = 24 * 60 * MINUTE_MS

/**
 * @param previousQuarantines - number of earlier quarantines of the request
 * @returns duration of the next quarantine, in milliseconds
 */
export function quarantineDurationMs (previousQuarantines: number): number {
  return Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** previousQuarantines)
}
