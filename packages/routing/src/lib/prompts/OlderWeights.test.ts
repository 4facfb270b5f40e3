import { describe, expect, it } from 'vitest'
import { OlderWeights } from './OlderWeights.js'

const named = (version: number): Array<{ model: string, version: number }> => [{ model: 'm', version }]

describe('OlderWeights', () => {
  it('bounds nothing before weights are named, and never the first ones', () => {
    const older = new OlderWeights(6000)
    expect(older.leftMs('m', 0)).toBe(Number.POSITIVE_INFINITY)
    older.observe(named(1), 0)
    expect(older.leftMs('m', 100_000)).toBe(Number.POSITIVE_INFINITY)
  })

  it('ends some time before the bound, counted from when the host heard of them', () => {
    const older = new OlderWeights(6000)
    older.observe([], 0)
    older.observe(named(2), 1000)
    older.observe(named(2), 5000)
    expect(older.leftMs('m', 1000)).toBe(5300)
    expect(older.leftMs('m', 7000)).toBe(0)
  })

  it('counts anew for each version', () => {
    const older = new OlderWeights(6000)
    older.observe([], 0)
    older.observe(named(2), 1000)
    older.observe(named(3), 6000)
    expect(older.leftMs('m', 6000)).toBe(5300)
  })

  it('grants less where it does not know when they were named', () => {
    const older = new OlderWeights(6000)
    older.observe(named(2), 1000)
    expect(older.leftMs('m', 1000)).toBe(2300)
  })

  it('bounds nothing where nobody does', () => {
    const older = new OlderWeights(Number.POSITIVE_INFINITY)
    older.observe(named(2), 0)
    expect(older.leftMs('m', 1e9)).toBe(Number.POSITIVE_INFINITY)
  })
})
