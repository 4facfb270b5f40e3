import { describe, expect, it } from 'vitest'
import { entryMemoryBudget } from '@eelgrassmux/daemon/MemoryBudget'
import { slowReaderBounds } from './SlowReaders.js'

describe('slowReaderBounds', () => {
  it('takes a quarter of the memory, and a quarter of that for one customer', () => {
    expect(slowReaderBounds(512)).toMatchObject({ totalBytes: 128_000_000, customerBytes: 32_000_000 })
  })

  it('assumes 256 MB if the memory is not known', () => {
    expect(slowReaderBounds(0).totalBytes).toBe(slowReaderBounds(256).totalBytes)
  })

  // Guards against a host that is killed because slow readers and unfinished responses each keep to a bound of their own.
  it.each([178, 200, 250, 350])('keeps all responses of a host of %i MB within what they share', memoryMb => {
    const { responseBytes, mostOfResponses: { unfinished, waiting } } = entryMemoryBudget(memoryMb)
    const others = unfinished + waiting
    expect(slowReaderBounds(memoryMb, () => others).totalBytes + others).toBeLessThanOrEqual(responseBytes)
  })

  it('leaves slow readers something while other responses have all', () => {
    expect(slowReaderBounds(200, () => 200_000_000).totalBytes).toBe(1_000_000)
  })
})
