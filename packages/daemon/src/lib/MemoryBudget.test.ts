import { describe, expect, it } from 'vitest'
import { controlMemoryBudget, entryMemoryBudget } from './MemoryBudget.js'

/** Sum of all parts but the limit; connections are counted in bytes. */
function sum (budget: object): number {
  return Object.entries(budget).filter(([name]) => name.endsWith('Bytes') && name !== 'limitBytes').reduce((total, [, bytes]) => total + bytes, 0)
}

describe('memory budget', () => {
  // Guards against a process that is killed while each of its parts keeps to its own bound.
  it.each([178, 200, 250, 350, 470, 517])('of an entry host of %i MB adds up to its memory at most', memoryMb => {
    const budget = entryMemoryBudget(memoryMb)
    expect(sum(budget)).toBeLessThanOrEqual(memoryMb * 1_000_000)
    expect(budget.requestBodyBytes).toBeGreaterThan(0)
    expect(budget.connections).toBeGreaterThan(600)
  })

  it.each([200, 346, 517])('of a control host of %i MB adds up to its memory at most', memoryMb => {
    expect(sum(controlMemoryBudget(memoryMb))).toBeLessThanOrEqual(memoryMb * 1_000_000)
  })

  it('takes a usual size if the memory is not known', () => {
    expect(entryMemoryBudget(0)).toEqual(entryMemoryBudget(256))
  })

  it('leaves a host with very little memory something to serve with', () => {
    const { heapBytes, requestBodyBytes, connections } = entryMemoryBudget(32)
    expect(Math.min(heapBytes, requestBodyBytes, connections)).toBeGreaterThan(0)
  })
})
