/** Statuses that a response may have (RFC 9110, section 15). */

const FIRST_FINAL_STATUS = 200
const LAST_STATUS = 599

/**
 * Whether a response may end with a status. HTTP parsers accept any three digits.
 *
 * @param status - status of a response
 */
export function isFinalStatus (status: number): boolean {
  return Number.isInteger(status) && status >= FIRST_FINAL_STATUS && status <= LAST_STATUS
}

/** Thrown in place of a response whose status does not exist. */
export class InvalidStatusError extends Error {
  /** @param status - status of the response */
  constructor (status: number) {
    super(`status ${status} does not exist`)
  }
}
