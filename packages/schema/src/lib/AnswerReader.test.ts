import { describe, expect, it } from 'vitest'
import { AnswerReader } from './AnswerReader.js'

async function * pieces (count: number, bytes: number): AsyncGenerator<Uint8Array> {
  for (let piece = 0; piece < count; piece += 1) yield Buffer.alloc(bytes, 'a')
}

describe('AnswerReader', () => {
  it('reads an answer within the bounds', async () => {
    const reader = new AnswerReader({ answerBytes: 100, totalBytes: 200 })
    expect(await reader.readText(pieces(10, 10))).toBe('a'.repeat(100))
    expect(reader.totalBytes).toBe(0)
  })

  // Guards against an answer without end that is read into memory.
  it('gives up an answer with more bytes', async () => {
    const reader = new AnswerReader({ answerBytes: 100, totalBytes: 200 })
    await expect(reader.readText(pieces(Number.POSITIVE_INFINITY, 10))).rejects.toThrow('more than 100 bytes')
    expect(reader.totalBytes).toBe(0)
  })

  // Guards against many answers at once that are each within their own bound.
  it('keeps the bound of all answers', async () => {
    const reader = new AnswerReader({ answerBytes: 100, totalBytes: 200 })
    const outcomes = await Promise.allSettled(Array.from({ length: 50 }, async () => await reader.readText(pieces(10, 10))))
    expect(outcomes.some(({ status }) => status === 'rejected')).toBe(true)
    expect(reader.totalBytes).toBe(0)
    expect(await reader.readText(pieces(10, 10))).toHaveLength(100)
  })
})
