import { describe, expect, it } from 'vitest'
import { planFaults } from './faultPlan.js'

const SHAPE = { controls: 3, entries: 4, plainEndpoints: 2, engines: 2 }

describe('planFaults', () => {
  it('returns the same faults for the same seed, and different ones for another', () => {
    expect(planFaults(7, 30, SHAPE)).toEqual(planFaults(7, 30, SHAPE))
    expect(planFaults(7, 30, SHAPE)).not.toEqual(planFaults(8, 30, SHAPE))
  })

  it('plans faults only within the duration, for existing processes and of the given kinds', () => {
    const plan = planFaults(7, 30, SHAPE, ['pause'])
    for (const fault of plan) {
      expect(fault.atMs).toBeLessThan(30_000)
      if (fault.kind === 'pause') expect(fault.slot).toBeLessThan(SHAPE.entries)
    }
    expect(new Set(plan.map(({ kind }) => kind))).toEqual(new Set(['pause']))
  })
})
