import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { EventCursor } from './EventCursor.js'

const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`

function pushText (cursor: EventCursor, text: string): string {
  return cursor.push(Buffer.from(text)).toString()
}

describe('EventCursor', () => {
  it('forwards only complete events, wherever the bytes are split', () => {
    const text = event(1) + event(2) + event(3)
    for (let cut = 0; cut <= text.length; cut += 1) {
      const cursor = new EventCursor()
      expect(pushText(cursor, text.slice(0, cut)) + pushText(cursor, text.slice(cut))).toBe(text)
    }
  })

  it('continues after the last complete event when a run was interrupted inside an event', () => {
    const cursor = new EventCursor()
    pushText(cursor, event(1) + event(2).slice(0, 7))
    expect(cursor.hasPartialEvent).toBe(true)
    cursor.discardPartialEvent()
    expect(cursor.lastId).toBe(1)
    expect(pushText(cursor, event(2) + event(3))).toBe(event(2) + event(3))
  })

  it('drops events that were already forwarded', () => {
    const cursor = new EventCursor()
    pushText(cursor, event(1) + event(2))
    expect(pushText(cursor, event(1) + event(2) + event(3))).toBe(event(3))
  })

  it('starts after the event that the caller names', () => {
    expect(pushText(new EventCursor(2), event(2) + event(3))).toBe(event(3))
  })

  it('accepts lines that end with a carriage return, and a field before the id', () => {
    const cursor = new EventCursor()
    expect(pushText(cursor, 'weights: 2\r\nid: 4\r\ndata: x\r\n\r\n')).toContain('data: x')
    expect(cursor.lastId).toBe(4)
  })

  // Guards against events that are cut or joined differently where a buffer ends inside a line, a line end or a long line.
  it('passes on the same bytes however they are split', () => {
    const lineEnd = fc.constantFrom('\n', '\r', '\r\n')
    const line = fc.oneof(fc.constantFrom('', ': c', 'id: 1', 'id: 2', 'id:7', 'data: a'), fc.integer({ min: 50, max: 200 }).map(length => 'x'.repeat(length)))
    const text = fc.array(fc.tuple(line, lineEnd).map(parts => parts.join('')), { maxLength: 30 }).map(lines => lines.join(''))
    fc.assert(fc.property(text, fc.array(fc.integer({ min: 1, max: 100 }), { maxLength: 20 }), (stream, lengths) => {
      const whole = new EventCursor()
      const expected = pushText(whole, stream) + whole.takeRemainder().toString()
      const cursor = new EventCursor()
      let passedOn = ''
      let at = 0
      for (const length of lengths) {
        passedOn += pushText(cursor, stream.slice(at, at + length))
        at += length
      }
      passedOn += pushText(cursor, stream.slice(at)) + cursor.takeRemainder().toString()
      expect(withoutLineEnds(passedOn)).toBe(withoutLineEnds(expected))
      expect(cursor.lastId).toBe(whole.lastId)
      expect(cursor.hasPartialEvent).toBe(whole.hasPartialEvent)
    }))
  })

  // Guards against an event without end, of which every further piece had all earlier ones copied.
  it('keeps an unfinished event in one block of at most twice its size', () => {
    const cursor = new EventCursor()
    for (let piece = 0; piece < 1000; piece += 1) cursor.push(Buffer.alloc(100, 'a'))
    expect(cursor.unfinishedBytes).toBe(100_000)
    expect(cursor.keptBytes).toBeLessThanOrEqual(200_000)
  })
})

/** Where a CRLF is split, its LF is passed on with the next event; a blank line more or less belongs to no event. */
function withoutLineEnds (text: string): string {
  return text.replaceAll(/[\r\n]/g, '')
}
