import { describe, expect, it } from 'vitest'
import { AdmissionGate } from './AdmissionGate.js'

const request = (id: string): Parameters<AdmissionGate['request']>[0] => ({ id, customer: 'ward', share: 1, tokens: 100, waitLimitMs: 60_000 })

describe('AdmissionGate', () => {
  it('admits the next request in place of one whose caller disconnected', async () => {
    const gate = new AdmissionGate(100, 10)
    const disconnected = new AbortController()
    const stays = new AbortController().signal
    expect((await gate.request(request('1'), stays)).kind).toBe('admitted')
    const leaving = gate.request(request('2'), disconnected.signal)
    const next = gate.request(request('3'), stays)
    disconnected.abort()
    expect((await leaving).kind).toBe('refused')
    expect(gate.queued).toBe(1)
    gate.release('1')
    expect((await next).kind).toBe('admitted')
    gate.stop()
  })
})
