/** Finds the log lines in one line of a collected file. */
import { logLineSchema, type LogLine } from './LogLine.js'

/** Text with which every log line starts. */
const LOG_LINE_START = '{"context":'

/** Content of one line of a file. */
export interface ParsedText {
  /** Text before the log line, such as a time and a host name. */
  readonly prefix: string
  /** Usually one log line; two if the first one was truncated because its process ended while writing it. */
  readonly lines: readonly LogLine[]
}

/**
 * @param text - a line of a file
 * @returns the complete log lines and the text before the first one
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
    // Truncated lines are expected; the caller counts those that mention its request.
    return undefined
  }
}
