import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { StoreClocks } from './StoreClocks.js'

const CLOCK_MS = 1_783_061_530_081

describe('StoreClocks', () => {
  it('follows the clock of a single store', () => {
    const clocks = new StoreClocks()
    expect(clocks.clockMs(0)).toBeUndefined()
    clocks.observe('a', CLOCK_MS, 100)
    expect(clocks.clockMs(350)).toBe(CLOCK_MS + 250)
    clocks.observe('a', CLOCK_MS + 60_000, 350)
    expect(clocks.clockMs(350)).toBe(CLOCK_MS + 60_000)
  })

  // Guards against one store's clock that decides about transfers from all others.
  it('keeps the clock of the other stores, whatever one of them states', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 4 }), fc.double({ noNaN: true, min: -1e15, max: 1e15 }), (others, strange) => {
      const clocks = new StoreClocks()
      for (let store = 0; store < others; store += 1) clocks.observe(`sound-${store}`, CLOCK_MS, 0)
      clocks.observe('strange', strange, 0)
      expect(Math.abs((clocks.clockMs(0) ?? 0) - CLOCK_MS)).toBeLessThanOrEqual(1000)
    }))
  })
})
