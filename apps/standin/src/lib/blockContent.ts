/** Content of stand-in KV blocks: computable from the key, so that a wrong or partial block is noticed. */
import { createHash } from 'node:crypto'

/**
 * @param keys - block keys of one object
 * @param bytesPerBlock - size of one block
 * @returns the object's content
 */
export function objectContent (keys: readonly string[], bytesPerBlock: number): Buffer {
  return Buffer.concat(keys.map(key => Buffer.alloc(bytesPerBlock, key)))
}

/**
 * @param bytes - any content
 * @returns its SHA-256, in hex
 */
export function sha256 (bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex')
}
