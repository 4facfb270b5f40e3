/** A log line and where it was found. */
import type { LogLine } from './LogLine.js'

/** A log line of a file. */
export interface TracedLine extends LogLine {
  readonly file: string
  /** Line of the file, from 1. */
  readonly lineNumber: number
  /** Name that the collector put before it; undefined if there is none. */
  readonly host: string | undefined
}

/**
 * @param line - a line
 * @returns a key that lines of one process share
 */
export function processKey ({ file, host, program }: TracedLine): string {
  return JSON.stringify([file, host, program])
}
