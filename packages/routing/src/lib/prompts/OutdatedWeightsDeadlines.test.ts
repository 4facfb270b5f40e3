import { describe, expect, it } from 'vitest'
import { OutdatedWeightsDeadlines } from './OutdatedWeightsDeadlines.js'

const named = (version: number): Array<{ model: string, version: number }> => [{ model: 'm', version }]

describe('OlderWeights', () => {
  it('bounds nothing before weights are named, and never the first ones', () => {
    const older = new OutdatedWeightsDeadlines(6000)
    expect(older.remainingMs('m', 1, 0)).toBe(Number.POSITIVE_INFINITY)
    older.observe(named(1), 0)
    expect(older.remainingMs('m', 1, 100_000)).toBe(Number.POSITIVE_INFINITY)
  })

  it('ends some time before the bound, counted from when the host heard of them', () => {
    const older = new OutdatedWeightsDeadlines(6000)
    older.observe([], 0)
    older.observe(named(2), 1000)
    older.observe(named(2), 5000)
    expect(older.remainingMs('m', 1, 1000)).toBe(5300)
    expect(older.remainingMs('m', 1, 7000)).toBe(0)
  })

  it('counts anew for each version', () => {
    const older = new OutdatedWeightsDeadlines(6000)
    older.observe([], 0)
    older.observe(named(2), 1000)
    older.observe(named(3), 6000)
    expect(older.remainingMs('m', 2, 6000)).toBe(5300)
  })

  it('does not prolong for later weights what earlier ones have ended', () => {
    const older = new OutdatedWeightsDeadlines(6000)
    older.observe([], 0)
    older.observe(named(2), 1000)
    older.observe(named(3), 6200)
    expect(older.remainingMs('m', 1, 6300)).toBe(0)
    expect(older.remainingMs('m', 3, 6300)).toBe(Number.POSITIVE_INFINITY)
  })

  it('grants less where it does not know when they were named', () => {
    const older = new OutdatedWeightsDeadlines(6000)
    older.observe(named(2), 1000)
    expect(older.remainingMs('m', 1, 1000)).toBe(2300)
  })

  it('bounds nothing where nobody does', () => {
    const older = new OutdatedWeightsDeadlines(Number.POSITIVE_INFINITY)
    older.observe(named(2), 0)
    expect(older.remainingMs('m', 1, 1e9)).toBe(Number.POSITIVE_INFINITY)
  })
})
