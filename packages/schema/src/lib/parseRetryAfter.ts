/** Reads the pause that an endpoint asks for (RFC 9110, section 10.2.3; seconds may have fractions). */

/** Longest pause that one answer can ask for, in milliseconds: what an endpoint asks for by mistake has an end. */
const LONGEST_MS = 300_000

const MILLISECONDS_PER_SECOND = 1000

const SECONDS = /^\d+(\.\d+)?$/

/**
 * @param text - value of the header, if there is one
 * @param wallNowMs - Unix milliseconds, for values that name a time of day
 * @returns milliseconds, or undefined if the value says nothing
 */
export function parseRetryAfter (text: string | undefined, wallNowMs: number): number | undefined {
  if (text === undefined) return undefined
  const value = text.trim()
  const milliseconds = SECONDS.test(value) ? Number(value) * MILLISECONDS_PER_SECOND : Date.parse(value) - wallNowMs
  return Number.isFinite(milliseconds) && milliseconds > 0 ? Math.min(LONGEST_MS, milliseconds) : undefined
}
