/** Reads a file line by line, whatever it holds, in bounded memory. */
import { createReadStream } from 'node:fs'

/** Longest line that is kept, in characters: log lines have some hundred; what is longer is no log line, or many cut ones. */
const MAX_LINE_LENGTH = 256 * 1024

/** One line of a file. */
export interface TextLine {
  /** From 1. */
  readonly number: number
  /** Without its end; cut after {@link MAX_LINE_LENGTH}. */
  readonly text: string
}

/**
 * @param path - the file
 * @returns its lines, the last one also if it has no end
 * @throws the file system's error if it can't be read
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
