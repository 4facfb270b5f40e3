import { describe, expect, it } from 'vitest'
import { planFaults } from './faultPlan.js'

const SHAPE = { controls: 3, entries: 4, plainEndpoints: 2, engines: 2 }

describe('planFaults', () => {
  it('gives the same faults for the same seed, and others for another', () => {
    expect(planFaults(7, 30, SHAPE)).toEqual(planFaults(7, 30, SHAPE))
    expect(planFaults(7, 30, SHAPE)).not.toEqual(planFaults(8, 30, SHAPE))
  })

  it('keeps to the time, to the processes there are and to the kinds asked for', () => {
    const plan = planFaults(7, 30, SHAPE, ['pause'])
    for (const fault of plan) {
      expect(fault.atMs).toBeLessThan(30_000)
      if (fault.kind === 'pause') expect(fault.slot).toBeLessThan(SHAPE.entries)
    }
    expect(new Set(plan.map(({ kind }) => kind))).toEqual(new Set(['pause']))
  })
})
