import { describe, expect, it } from 'vitest'
import { WorkGate } from './WorkGate.js'

describe('WorkGate', () => {
  it('takes no new work once closed, but what belongs to old work', async () => {
    const gate = new WorkGate()
    const ticket = gate.tryBegin()
    gate.close()
    expect(gate.tryBegin()).toBeUndefined()
    const followUp = gate.beginFollowUp()
    let isIdle = false
    const idle = gate.whenIdle().then(() => { isIdle = true })
    ticket?.end()
    await Promise.resolve()
    expect(isIdle).toBe(false)
    followUp.end()
    await idle
    expect(gate.activeCount).toBe(0)
  })

  it('tells when earlier work has ended, although later work goes on', async () => {
    const gate = new WorkGate()
    const earlier = gate.tryBegin()
    let hasEnded = false
    const present = gate.whenCurrentWorkEnds().then(() => { hasEnded = true })
    const later = gate.tryBegin()
    later?.end()
    await Promise.resolve()
    expect(hasEnded).toBe(false)
    gate.tryBegin()
    earlier?.end()
    await present
    expect(gate.activeCount).toBe(1)
  })

  it('ends each work once, however often it is told', () => {
    const gate = new WorkGate()
    const first = gate.tryBegin()
    gate.tryBegin()
    first?.end()
    first?.end()
    expect(gate.activeCount).toBe(1)
  })
})
