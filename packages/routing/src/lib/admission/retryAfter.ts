/**
 * When a refused caller had better return.
 *
 * Answers the load in which many are refused in the same moment: sent back
 * together, they would arrive together. The pause is spread, and stays within
 * what callers honour.
 */

/** Share of the time left up to which callers honour a pause. */
const HONOURED_SHARE = 1 / 3

/** Bounds of the spread, in milliseconds: a place frees within tenths of a second. */
const SPREAD_MS = { least: 200, most: 1000 }

/**
 * @param wantedMs - pause after which a place is expected, in milliseconds
 * @param remainingMs - time that the caller has left, in milliseconds
 * @param random - number in [0, 1) that spreads callers
 * @returns milliseconds after which to return
 */
export function retryAfterMs (wantedMs: number, remainingMs: number, random: number): number {
  const honouredMs = Math.max(0, remainingMs) * HONOURED_SHARE
  const spreadMs = SPREAD_MS.least + random * (SPREAD_MS.most - SPREAD_MS.least)
  return Math.min(honouredMs, Math.max(wantedMs, 0) + spreadMs)
}
