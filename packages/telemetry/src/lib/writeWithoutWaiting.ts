import { writeSync } from 'node:fs'

/**
 * Writes to standard output as many bytes as it accepts without blocking.
 *
 * @param descriptor - file descriptor of standard output
 * @param bytes - bytes to write
 * @returns number of bytes written; 0 if standard output is full or closed
 */
export function writeWithoutWaiting (descriptor: number, bytes: Buffer): number {
  // Accessing process.stdout opens the stream; only then does Node.js make a pipe non-blocking.
  if (!process.stdout.writable) return 0
  try {
    return writeSync(descriptor, bytes)
  } catch {
    // Standard output is full, or its reader has closed it. The process is ending, so the error can't be reported anywhere.
    return 0
  }
}
