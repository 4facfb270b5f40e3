/** Fingerprint of a part of prompts. It stands beside those of whole requests in reports and in the quarantine. */
import { createHash } from 'node:crypto'
import { FINGERPRINT_DIGITS } from './requestFingerprint.js'

/** First digits of the fingerprint of a part. That of a request begins with them by chance once in four billion. */
const PART_PREFIX = 'ffffffff'

/** What identifies a part. */
export interface PartIdentity {
  readonly model: string
  /** Name of the customer if its parts are its own; undefined if customers share them. */
  readonly customer: string | undefined
  readonly part: string
}

/**
 * @param identity - what identifies the part
 * @returns its fingerprint, which is the same on every host
 */
export function partFingerprint ({ model, customer, part }: PartIdentity): string {
  const digest = createHash('sha256').update(JSON.stringify([model, customer ?? null, part])).digest('hex')
  return PART_PREFIX + digest.slice(0, FINGERPRINT_DIGITS - PART_PREFIX.length)
}

/** @param fingerprint - fingerprint of a request or of a part */
export function isPartFingerprint (fingerprint: string): boolean {
  return fingerprint.startsWith(PART_PREFIX)
}
