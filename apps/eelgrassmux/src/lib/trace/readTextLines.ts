/** Reads a file of any content line by line, in bounded memory. */
import { createReadStream } from 'node:fs'

/** Maximum length of a line, in characters. Log lines have a few hundred; a longer line is no log line, or consists of many truncated ones. */
const MAX_LINE_LENGTH = 256 * 1024

/** One line of a file. */
export interface TextLine {
  /** Line number, from 1. */
  readonly number: number
  /** Text without the line terminator, truncated to {@link MAX_LINE_LENGTH}. */
  readonly text: string
}

/**
 * @param path - path of the file
 * @returns the lines of the file, including a last line without a terminator
 * @throws the file system's error if the file can't be read
 */
export async function * readTextLines (path: string): AsyncGenerator<TextLine> {
  let number = 0
  let remainder = ''
  for await (const chunk of createReadStream(path, { encoding: 'utf8' })) {
    const parts = (remainder + String(chunk)).split('\n')
    remainder = (parts.pop() ?? '').slice(0, MAX_LINE_LENGTH)
    for (const text of parts) {
      number += 1
      yield { number, text: text.slice(0, MAX_LINE_LENGTH) }
    }
  }
  if (remainder !== '') yield { number: number + 1, text: remainder }
}
