/** Reads the log lines of one collected log file. */
import { hostOfPrefix } from './hostOfPrefix.js'
import { parseLogLines } from './parseLogLines.js'
import { readTextLines } from './readTextLines.js'
import type { TracedLine } from './TracedLine.js'

/** One line of the file with the log lines in it. */
export interface ParsedFileLine {
  readonly text: string
  readonly lines: readonly TracedLine[]
}

/**
 * @param file - path of the file
 * @param isWanted - fast check of a line's text that decides whether to parse the line
 * @returns each wanted line with its log lines; none if the line is truncated or other text
 * @throws the file system's error if the file can't be read
 */
export async function * readLogFile (file: string, isWanted: (text: string) => boolean): AsyncGenerator<ParsedFileLine> {
  for await (const { number, text } of readTextLines(file)) {
    if (!isWanted(text)) continue
    const { prefix, lines } = parseLogLines(text)
    const host = hostOfPrefix(prefix)
    yield { text, lines: lines.map(line => ({ ...line, file, lineNumber: number, host })) }
  }
}
