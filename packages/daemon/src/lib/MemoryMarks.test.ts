import { describe, expect, it } from 'vitest'
import { MemoryMarks } from './MemoryMarks.js'

const LIMIT_BYTES = 200_000_000

describe('memory marks', () => {
  const observe = (marks: MemoryMarks, shares: readonly number[]): unknown[] => shares.map(share => marks.observe(share * LIMIT_BYTES))

  it('say which share was passed, once', () => {
    expect(observe(new MemoryMarks(LIMIT_BYTES), [0.5, 0.71, 0.75, 0.81])).toEqual([undefined, { share: 0.7, isAbove: true }, undefined, { share: 0.8, isAbove: true }])
  })

  it('say the highest share if several are passed at once', () => {
    expect(observe(new MemoryMarks(LIMIT_BYTES), [0.5, 0.96])).toEqual([undefined, { share: 0.95, isAbove: true }])
  })

  it('are left only well below, so that memory that swings around one gives no lines', () => {
    expect(observe(new MemoryMarks(LIMIT_BYTES), [0.71, 0.69, 0.71, 0.65])).toEqual([{ share: 0.7, isAbove: true }, undefined, undefined, { share: 0.7, isAbove: false }])
  })
})
