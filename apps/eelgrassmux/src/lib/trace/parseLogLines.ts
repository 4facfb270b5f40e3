/** Finds log lines in a line of a collected file. */
import { logLineSchema, type LogLine } from './LogLine.js'

/** Every log line begins so. */
const LOG_LINE_START = '{"context":'

/** What a line of a file holds. */
export interface ParsedText {
  /** What stands before the log line, such as a time and a host's name. */
  readonly prefix: string
  /** Usually one; two if the end of a line was lost with the process that wrote it. */
  readonly lines: readonly LogLine[]
}

/**
 * @param text - a line of a file
 * @returns the log lines that are whole
 */
export function parseLogLines (text: string): ParsedText {
  const [prefix = '', ...pieces] = text.split(LOG_LINE_START)
  return { prefix, lines: pieces.flatMap(piece => parseLogLine(LOG_LINE_START + piece)) }
}

function parseLogLine (text: string): LogLine[] {
  const parsed = logLineSchema.safeParse(parseJson(text))
  return parsed.success ? [parsed.data] : []
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Cut lines are expected; the caller counts those that it misses.
    return undefined
  }
}
