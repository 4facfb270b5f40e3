import { describe, expect, it } from 'vitest'
import { EventScanner } from './EventScanner.js'

/** Scans a text in one piece or byte by byte, and returns the number of events and whether the text ends inside one. */
function scan (text: string, pieceLength: number): { events: number, isInsideEvent: boolean } {
  const scanner = new EventScanner()
  let events = 0
  for (let from = 0; from < text.length; from += pieceLength) {
    const bytes = Buffer.from(text.slice(from, from + pieceLength))
    for (let at = scanner.scan(bytes, 0); at >= 0; at = scanner.scan(bytes, at)) events += 1
  }
  return { events, isInsideEvent: scanner.isInsideEvent }
}

describe('EventScanner', () => {
  describe.each([['LF', '\n'], ['CRLF', '\r\n'], ['CR', '\r']])('with lines that end with %s', (_name, lineEnd) => {
    const event = `id: 1${lineEnd}data: a${lineEnd}${lineEnd}`
    it.each([
      ['two events', event + event, 2, false],
      ['no bytes', '', 0, false],
      ['a comment after an event', `${event}: end${lineEnd}`, 1, false],
      ['further blank lines after an event', event + lineEnd + lineEnd, 1, false],
      ['a comment inside a line, after an event', `${event}: e`, 1, false],
      ['half a line', `${event}id`, 1, true],
      ['a line without the blank line', `${event}id: 2${lineEnd}`, 1, true],
      ['a comment inside an event', `${event}id: 2${lineEnd}: c${lineEnd}`, 1, true]
    ])('knows whether a stream with %s ends inside an event', (_text, text, events, isInsideEvent) => {
      for (const pieceLength of [1, 2, 3, 1000]) expect(scan(text, pieceLength)).toEqual({ events, isInsideEvent })
    })
  })

  it('includes both bytes of a line end that arrive together', () => {
    const bytes = Buffer.from('data: a\r\n\r\ndata: b')
    expect(new EventScanner().scan(bytes, 0)).toBe(11)
  })
})
