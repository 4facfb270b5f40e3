/**
 * Computes when a refused caller should retry.
 *
 * Callers that are refused at the same moment would otherwise all return together.
 * The delay is jittered, and stays within what callers accept.
 */

/** Share of the caller's remaining time up to which callers accept a delay. */
const MAX_SHARE_OF_REMAINING = 1 / 3

/** Bounds of the jitter, in milliseconds: a slot is freed within tenths of a second. */
const JITTER_MS = { least: 200, most: 1000 }

/**
 * @param wantedMs - delay after which a slot is expected to be free, in milliseconds
 * @param remainingMs - time that the caller has left, in milliseconds
 * @param random - number in [0, 1) that determines the jitter
 * @returns milliseconds after which the caller should retry
 */
export function retryAfterMs (wantedMs: number, remainingMs: number, random: number): number {
  const maxMs = Math.max(0, remainingMs) * MAX_SHARE_OF_REMAINING
  const jitterMs = JITTER_MS.least + random * (JITTER_MS.most - JITTER_MS.least)
  return Math.min(maxMs, Math.max(wantedMs, 0) + jitterMs)
}
