import { writeSync } from 'node:fs'

/**
 * Writes to standard output what it takes at once.
 *
 * @param descriptor - file descriptor of standard output
 * @param bytes - what to write
 * @returns bytes that were taken; 0 if nobody reads
 */
export function writeWithoutWaiting (descriptor: number, bytes: Buffer): number {
  // Node.js makes a pipe non-blocking when it opens the stream, and only then.
  if (!process.stdout.writable) return 0
  try {
    return writeSync(descriptor, bytes)
  } catch {
    // Full, or closed by whoever read it: the process ends, and there is nowhere left to say so.
    return 0
  }
}
