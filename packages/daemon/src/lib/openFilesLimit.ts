/** Reads how many files and connections this process may have open. */
import { readFileSync } from 'node:fs'

const LIMIT_LINE = /^Max open files\s+(\d+)/m

/**
 * @param limits - limits of the process as the operating system states them; those of this process by default
 * @returns most open files and connections; infinite if it is not known
 */
export function openFilesLimit (limits = readLimits()): number {
  return Number(LIMIT_LINE.exec(limits)?.[1] ?? Number.POSITIVE_INFINITY)
}

function readLimits (): string {
  try {
    return readFileSync('/proc/self/limits', 'utf8')
  } catch {
    // Only Linux has the file.
    return ''
  }
}
