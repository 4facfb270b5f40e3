/** What makes two requests the same one, whoever took them: who asks, for what, with which body. */
import { createHash } from 'node:crypto'

/** A request as its caller sent it. */
export interface RequestIdentity {
  /** Name of the customer; undefined on public routes. */
  readonly customer: string | undefined
  readonly method: string
  /** Path and query. */
  readonly target: string
  readonly body: Buffer | undefined
}

/** Hexadecimal digits of a fingerprint: 128 bits, so that nobody meets another's request by chance. */
export const FINGERPRINT_DIGITS = 32

/**
 * The customer is part of it, so that no customer's request is ever judged by another's.
 *
 * @param identity - the request
 * @returns the same text for the same request, on every host
 */
export function requestFingerprint ({ customer, method, target, body }: RequestIdentity): string {
  const hash = createHash('sha256')
  // As JSON, so that the parts can't run into each other.
  hash.update(JSON.stringify([customer ?? null, method, target]))
  if (body !== undefined) hash.update(body)
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS)
}
