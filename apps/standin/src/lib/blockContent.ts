/** Content of the stand-in engine's KV blocks. It depends only on the keys, so that a wrong or partial block is detected. */
import { createHash } from 'node:crypto'

/**
 * @param keys - block keys of one object
 * @param bytesPerBlock - size of one block
 * @returns the content of the object
 */
export function objectContent (keys: readonly string[], bytesPerBlock: number): Buffer {
  return Buffer.concat(keys.map(key => Buffer.alloc(bytesPerBlock, key)))
}

/**
 * @param bytes - content to hash
 * @returns the SHA-256 hash in hexadecimal
 */
export function sha256 (bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex')
}
