import { describe, expect, it, vi } from 'vitest'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { MemoryGuard } from './MemoryGuard.js'

const LIMIT_BYTES = 200_000_000

describe('memory guard', () => {
  // Guards against a killed process whose log says nothing about its memory.
  it('logs what the process holds when its memory passes a share of the limit', () => {
    const telemetry = new Telemetry('small')
    const log = vi.spyOn(telemetry, 'logStateChange')
    let residentBytes = 100_000_000
    const guard = new MemoryGuard(LIMIT_BYTES, { residentBytes: () => residentBytes, held: () => ({ connections: 7, requests: 3 }) }, telemetry)
    guard.check()
    expect(log).not.toHaveBeenCalled()
    residentBytes = 185_000_000
    guard.check()
    guard.check()
    expect(log.mock.calls).toEqual([
      ['memory', expect.objectContaining({ share: 0.9, isAbove: true, limitBytes: LIMIT_BYTES, connections: 7, requests: 3, youngGenerationBytes: expect.any(Number) })]
    ])
  })
})
