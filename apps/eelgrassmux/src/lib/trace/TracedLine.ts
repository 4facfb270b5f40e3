/** Log line with its position in the collected files. */
import type { LogLine } from './LogLine.js'

/** A log line that was read from a file. */
export interface TracedLine extends LogLine {
  readonly file: string
  /** Line number in the file, from 1. */
  readonly lineNumber: number
  /** Host name from the prefix that the log collector added; undefined if there is none. */
  readonly host: string | undefined
}

/**
 * @param line - a log line
 * @returns a key that is the same for all lines of one process
 */
export function processKey ({ file, host, program }: TracedLine): string {
  return JSON.stringify([file, host, program])
}
