/** Parses the Retry-After header (RFC 9110, section 10.2.3), with fractional seconds allowed. */

/** Longest pause that one answer can request, so that a wrong value does not exclude an endpoint for long. */
const MAX_RETRY_AFTER_MS = 300_000

const MILLISECONDS_PER_SECOND = 1000

const SECONDS = /^\d+(\.\d+)?$/

/**
 * @param text - value of the header, if present
 * @param wallNowMs - current Unix time in milliseconds, for values that are dates
 * @returns pause in milliseconds, or undefined if the value is invalid or requests no pause
 */
export function parseRetryAfter (text: string | undefined, wallNowMs: number): number | undefined {
  if (text === undefined) return undefined
  const value = text.trim()
  const milliseconds = SECONDS.test(value) ? Number(value) * MILLISECONDS_PER_SECOND : Date.parse(value) - wallNowMs
  return Number.isFinite(milliseconds) && milliseconds > 0 ? Math.min(MAX_RETRY_AFTER_MS, milliseconds) : undefined
}
