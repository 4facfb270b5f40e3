import { describe, expect, it } from 'vitest'
import { CHUNK_OVERHEAD_BYTES, HeldBytes, type HeldReader } from './HeldBytes.js'

const NOW = 10_000

/** Size of a chunk of which each occupies 100,000 bytes. */
const LENGTH = 100_000 - CHUNK_OVERHEAD_BYTES

describe('HeldBytes', () => {
  const BOUNDS = { totalBytes: 4_000_000, customerBytes: 1_000_000 }

  function cutAll (held: HeldBytes<string>): string[] {
    const cut: string[] = []
    for (let reader = held.readerToCut(NOW); reader !== undefined; reader = held.readerToCut(NOW)) {
      cut.push(reader.owner)
      reader.close()
    }
    return cut
  }

  function openSlow (held: HeldBytes<string>, customer: string, owners: readonly string[], chunks: number): Array<HeldReader<string>> {
    const readers = owners.map(owner => held.open(owner, customer))
    for (const [at, reader] of readers.entries()) {
      for (let chunk = 0; chunk < chunks; chunk += 1) reader.hold(LENGTH, at + chunk * 100)
    }
    return readers
  }

  it('lets one customer hold up to the bound in all while no other holds any', () => {
    const held = new HeldBytes<string>(BOUNDS)
    const [reader] = openSlow(held, 'large', ['a'], 40)
    expect(cutAll(held)).toEqual([])
    reader?.hold(1, 5000)
    expect(cutAll(held)).toEqual(['a'])
    expect(held.totalBytes).toBe(0)
  })

  // Guards against a customer whose callers do not read, and whose bytes lead to cut readers of other customers.
  it('cuts the readers of the customer with many slow readers, the oldest first, until it is within its quarter', () => {
    const held = new HeldBytes<string>(BOUNDS)
    openSlow(held, 'large', ['a', 'b', 'c', 'd'], 5)
    expect(cutAll(held)).toEqual([])
    held.open('other', 'small').hold(LENGTH, -1000)
    expect(cutAll(held)).toEqual(['a', 'b'])
    expect(held.customerBytes('large')).toBe(1_000_000)
    expect(held.customerBytes('small')).toBe(100_000)
  })

  it('cuts readers of the customer that holds most if many customers together exceed the bound in all', () => {
    const held = new HeldBytes<string>(BOUNDS)
    for (let customer = 0; customer < 7; customer += 1) openSlow(held, `c${customer}`, [`r${customer}`], customer === 4 ? 6 : 5)
    openSlow(held, 'last', ['r7'], 5)
    expect(held.totalBytes).toBe(4_100_000)
    expect(cutAll(held)).toEqual(['r4'])
  })

  // Guards against cuts by the age of a connection, which would hit a caller that reads everything as it comes.
  it('never cuts a reader that has read everything', () => {
    const held = new HeldBytes<string>(BOUNDS)
    const fast = held.open('fast', 'large')
    fast.release(fast.hold(LENGTH, -5000))
    expect(fast.oldestAt).toBeUndefined()
    openSlow(held, 'large', ['a', 'b'], 25)
    expect(cutAll(held)).toEqual(['a'])
    fast.hold(LENGTH, 9000)
    expect(cutAll(held)).toEqual([])
  })

  it('goes by the oldest byte that is still unread, not by the first byte', () => {
    const held = new HeldBytes<string>(BOUNDS)
    const reader = held.open('reads', 'large')
    const first = reader.hold(LENGTH, 0)
    reader.hold(LENGTH, 5000)
    openSlow(held, 'large', ['stalled'], 39)
    reader.release(first)
    reader.hold(LENGTH, 6000)
    expect(cutAll(held)).toEqual(['stalled'])
  })

  // Guards against requests with large bodies that are cut before their endpoint has had time to read them.
  it('spares a reader within its grace', () => {
    const held = new HeldBytes<string>(BOUNDS)
    const reader = held.open('endpoint', 'large', 2000)
    reader.hold(5_000_000, NOW - 1999)
    expect(cutAll(held)).toEqual([])
    expect(held.readerToCut(NOW + 1)?.owner).toBe('endpoint')
  })

  it('counts the memory of small chunks, and counts each release once', () => {
    const held = new HeldBytes<string>(BOUNDS)
    const reader = held.open('a', 'large')
    const chunk = reader.hold(60, 0)
    expect(held.totalBytes).toBe(60 + CHUNK_OVERHEAD_BYTES)
    reader.release(chunk)
    reader.release(chunk)
    reader.close()
    reader.hold(60, 1)
    expect(held.totalBytes).toBe(0)
    expect(held.largestCustomerBytes).toBe(0)
  })
})
