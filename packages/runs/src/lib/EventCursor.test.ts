import { describe, expect, it } from 'vitest'
import { EventCursor } from './EventCursor.js'

const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`

function passed (cursor: EventCursor, text: string): string {
  return cursor.push(Buffer.from(text)).toString()
}

describe('EventCursor', () => {
  it('passes on whole events only, wherever the bytes are cut', () => {
    const text = event(1) + event(2) + event(3)
    for (let cut = 0; cut <= text.length; cut += 1) {
      const cursor = new EventCursor()
      expect(passed(cursor, text.slice(0, cut)) + passed(cursor, text.slice(cut))).toBe(text)
    }
  })

  it('goes on behind the last whole event after a run broke off inside one', () => {
    const cursor = new EventCursor()
    passed(cursor, event(1) + event(2).slice(0, 7))
    expect(cursor.hasPartialEvent).toBe(true)
    cursor.discardPartialEvent()
    expect(cursor.lastId).toBe(1)
    expect(passed(cursor, event(2) + event(3))).toBe(event(2) + event(3))
  })

  it('drops events that were passed on before', () => {
    const cursor = new EventCursor()
    passed(cursor, event(1) + event(2))
    expect(passed(cursor, event(1) + event(2) + event(3))).toBe(event(3))
  })

  it('begins behind the event that the caller names', () => {
    expect(passed(new EventCursor(2), event(2) + event(3))).toBe(event(3))
  })

  it('knows lines that end with a carriage return, and a field before the id', () => {
    const cursor = new EventCursor()
    expect(passed(cursor, 'weights: 2\r\nid: 4\r\ndata: x\r\n\r\n')).toContain('data: x')
    expect(cursor.lastId).toBe(4)
  })
})
