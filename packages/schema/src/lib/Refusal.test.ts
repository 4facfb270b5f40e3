import { describe, expect, it } from 'vitest'
import { InvariantViolation } from './invariant.js'
import { DispatchRecord, NotDispatched, refuse } from './Refusal.js'

const DETAILS = { reason: 'endpoint-failed', status: 502, detail: '' } as const

describe('DispatchRecord', () => {
  it('allows a refusal to state "not run" only while no attempt may have run', () => {
    const record = new DispatchRecord()
    expect(refuse(DETAILS, record).run).toBe('not-run')
    record.markDispatched()
    expect(refuse(DETAILS, record).run).toBe('unknown')
    record.markNotStarted()
    expect(refuse(DETAILS, record).run).toBe('not-run')
  })

  it('stays unknown when one of two attempts may have run', () => {
    const record = new DispatchRecord()
    record.markDispatched()
    record.markDispatched()
    record.markNotStarted()
    expect(refuse(DETAILS, record).run).toBe('unknown')
  })

  // Guards against a status that promises "not run" on a refusal that does not.
  it.each([408, 421, 429, 503])('turns the status %d into 502 without the proof', status => {
    const record = new DispatchRecord()
    expect(refuse({ ...DETAILS, status }, record).status).toBe(status)
    record.markDispatched()
    expect(refuse({ ...DETAILS, status }, record)).toMatchObject({ status: 502, run: 'unknown' })
  })

  it('issues no proof after a dispatch', () => {
    const record = new DispatchRecord()
    record.markDispatched()
    expect(() => NotDispatched.issue(record)).toThrow(InvariantViolation)
  })
})
