/** Reads a file line by line, whatever it holds, in bounded memory. */
import { createReadStream } from 'node:fs'

/** Longest line that is kept, in characters: log lines have some hundred; what is longer is no log line, or many cut ones. */
const LONGEST_LINE = 256 * 1024

/** One line of a file. */
export interface TextLine {
  /** From 1. */
  readonly number: number
  /** Without its end; cut after {@link LONGEST_LINE}. */
  readonly text: string
}

/**
 * @param path - the file
 * @returns its lines, the last one also if it has no end
 * @throws the file system's error if it can't be read
 */
export async function * readTextLines (path: string): AsyncGenerator<TextLine> {
  let number = 0
  let rest = ''
  for await (const chunk of createReadStream(path, { encoding: 'utf8' })) {
    const parts = (rest + String(chunk)).split('\n')
    rest = (parts.pop() ?? '').slice(0, LONGEST_LINE)
    for (const text of parts) {
      number += 1
      yield { number, text: text.slice(0, LONGEST_LINE) }
    }
  }
  if (rest !== '') yield { number: number + 1, text: rest }
}
