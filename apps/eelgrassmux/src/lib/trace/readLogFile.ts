/** Reads the log lines of one collected file. */
import { hostOfPrefix } from './hostOfPrefix.js'
import { parseLogLines } from './parseLogLines.js'
import { readTextLines } from './readTextLines.js'
import type { TracedLine } from './TracedLine.js'

/** What one line of the file gave. */
export interface ParsedFileLine {
  readonly text: string
  readonly lines: readonly TracedLine[]
}

/**
 * @param file - path
 * @param isWanted - cheap look at a line's text, before it is parsed
 * @returns for each wanted line of the file the log lines in it, none if it is cut or other text
 * @throws the file system's error if it can't be read
 */
export async function * readLogFile (file: string, isWanted: (text: string) => boolean): AsyncGenerator<ParsedFileLine> {
  for await (const { number, text } of readTextLines(file)) {
    if (!isWanted(text)) continue
    const { prefix, lines } = parseLogLines(text)
    const host = hostOfPrefix(prefix)
    yield { text, lines: lines.map(line => ({ ...line, file, lineNumber: number, host })) }
  }
}
