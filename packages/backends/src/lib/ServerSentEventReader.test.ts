import { describe, expect, it } from 'vitest'
import { ServerSentEventReader } from './ServerSentEventReader.js'

describe('ServerSentEventReader', () => {
  it.each([1, 2, 3, 1000])('returns the data of complete lines in pieces of %i bytes', length => {
    const reader = new ServerSentEventReader()
    const bytes = Buffer.from('data: {"a":1}\n\n: note\ndata: é\n\ndata: unfinished')
    const data: string[] = []
    for (let at = 0; at < bytes.length; at += length) data.push(...reader.push(bytes.subarray(at, at + length)))
    expect(data).toEqual(['{"a":1}', 'é'])
  })

  // Guards against a line without end, which was kept until the response broke off.
  it('gives up a line that has no end', () => {
    const reader = new ServerSentEventReader()
    const piece = Buffer.alloc(64 * 1024, 'x')
    expect(() => { for (let count = 0; count < 100; count += 1) reader.push(piece) }).toThrow('too long')
  })
})
