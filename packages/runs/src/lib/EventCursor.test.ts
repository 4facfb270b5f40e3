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
})
