import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { AnswerAssembler, type TokenChunk } from './AnswerAssembler.js'
import { createRunId, parseRunId, RunRegistry } from './RunRegistry.js'

const SEED = 20_261_202

const chunk = (offset: number, ...tokens: string[]): TokenChunk => ({ offset, tokens, version: 'v1' })

describe('AnswerAssembler', () => {
  it('releases tokens in order, whatever order they arrive in', () => {
    const answer = new AnswerAssembler('v1')
    expect(answer.accept(chunk(1, 'b'))).toEqual({ kind: 'early' })
    expect(answer.accept(chunk(0, 'a'))).toEqual({ kind: 'progress', tokens: ['a', 'b'] })
    expect(answer.accept(chunk(0, 'a', 'b'))).toEqual({ kind: 'repeat' })
    expect(answer.accept(chunk(1, 'b', 'c'))).toEqual({ kind: 'progress', tokens: ['c'] })
  })

  it('is complete only with an end marker and all tokens up to it', () => {
    const answer = new AnswerAssembler('v1')
    answer.accept(chunk(0, 'a'))
    expect(answer.finish({ length: 2, finishReason: 'stop' })).toBe(true)
    expect(answer.completed).toBeUndefined()
    answer.accept(chunk(1, 'b'))
    expect(answer.completed).toEqual({ length: 2, finishReason: 'stop' })
  })

  it('rejects an end marker that contradicts released tokens', () => {
    const answer = new AnswerAssembler('v1')
    answer.accept(chunk(0, 'a', 'b'))
    expect(answer.finish({ length: 1, finishReason: 'stop' })).toBe(false)
  })

  it('accepts no token of another version', () => {
    const answer = new AnswerAssembler('v1')
    expect(answer.accept({ ...chunk(0, 'a'), version: 'v2' })).toEqual({ kind: 'version-mismatch', version: 'v2' })
    expect(answer.tokens).toEqual([])
  })

  it('gives the same answer for every order, duplication and split of chunks', () => {
    const tokens = Array.from({ length: 30 }, (_, offset) => `t${offset}`)
    const pieces = fc.array(fc.tuple(fc.nat(29), fc.integer({ min: 1, max: 6 })), { minLength: 0, maxLength: 60 })
    fc.assert(fc.property(pieces, fc.infiniteStream(fc.nat()), (extra, order) => {
      const chunks = [...tokens.keys()].map(offset => chunk(offset, tokens[offset] ?? ''))
      for (const [offset, length] of extra) chunks.push(chunk(offset, ...tokens.slice(offset, offset + length)))
      const shuffled = chunks.map(each => ({ each, key: order.next().value })).sort((left, right) => left.key - right.key)
      const answer = new AnswerAssembler('v1')
      const released = shuffled.flatMap(({ each }) => {
        const outcome = answer.accept(each)
        return outcome.kind === 'progress' ? [...outcome.tokens] : []
      })
      expect(released).toEqual(tokens)
    }), { seed: SEED, numRuns: 200 })
  })
})

describe('RunRegistry', () => {
  it('finds a run only for its own customer', () => {
    const runs = new RunRegistry<{ customer: string }>()
    const id = createRunId('10.0.0.1:7420')
    runs.add(id, { customer: 'ward' })
    expect(runs.find(id, 'ward')).toBeDefined()
    expect(runs.find(id, 'clinic')).toBeUndefined()
  })

  it('includes the entry host in the id', () => {
    expect(parseRunId(createRunId('10.0.0.1:7420'))?.entry).toBe('10.0.0.1:7420')
    expect(parseRunId('run-zz')).toBeUndefined()
  })
})
