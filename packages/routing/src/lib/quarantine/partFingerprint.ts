/** Fingerprint of a part of prompts. It stands beside those of whole requests in reports and in the quarantine. */
import { createHash } from 'node:crypto'
import { FINGERPRINT_DIGITS } from './requestFingerprint.js'

/** First digits of the fingerprint of a part. That of a request begins with them by chance once in four billion. */
const PART_PREFIX = 'ffffffff'

/** What identifies a part. */
export interface PartIdentity {
  readonly model: string
  /** Id of the part. Customers that send the same id send the same content, also if they share no cache. */
  readonly part: string
}

/**
 * @param identity - what identifies the part
 * @returns its fingerprint, which is the same on every host
 */
export function partFingerprint ({ model, part }: PartIdentity): string {
  const digest = createHash('sha256').update(JSON.stringify([model, part])).digest('hex')
  return PART_PREFIX + digest.slice(0, FINGERPRINT_DIGITS - PART_PREFIX.length)
}

/** @param fingerprint - fingerprint of a request or of a part */
export function isPartFingerprint (fingerprint: string): boolean {
  return fingerprint.startsWith(PART_PREFIX)
}
