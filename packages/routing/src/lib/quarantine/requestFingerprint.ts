/** Fingerprint of a request: its customer, method, target and body, independent of the host that received it. */
import { createHash } from 'node:crypto'

/** Parts of a request that identify it, as the caller sent them. */
export interface RequestIdentity {
  /** Name of the customer; undefined on public routes. */
  readonly customer: string | undefined
  readonly method: string
  /** Path and query. */
  readonly target: string
  readonly body: Buffer | undefined
}

/** Hexadecimal digits of a fingerprint: 128 bits, so that fingerprints don't collide by chance. */
export const FINGERPRINT_DIGITS = 32

/**
 * Computes the fingerprint of a request. It includes the customer, so that no customer's request is quarantined because of another's.
 *
 * @param identity - parts that identify the request
 * @returns the fingerprint, which is the same on every host
 */
export function requestFingerprint ({ customer, method, target, body }: RequestIdentity): string {
  const hash = createHash('sha256')
  // JSON keeps the boundaries between the parts unambiguous.
  hash.update(JSON.stringify([customer ?? null, method, target]))
  if (body !== undefined) hash.update(body)
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS)
}
