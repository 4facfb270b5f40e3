import { beforeEach, describe, expect, it } from 'vitest'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { GracefulShutdown, type CallerEdge } from '../GracefulShutdown.js'
import { refuseWhileStopping } from './refuseWhileStopping.js'

class IdleEdge implements CallerEdge {
  readonly lastRequestAt = 0
  releaseWaiting (): void {}
  closeIdleConnections (): void {}
  logUnderWay (): void {}
  cutUnderWay (): void {}
}

describe('refuseWhileStopping', () => {
  let stop: GracefulShutdown

  beforeEach(() => { stop = new GracefulShutdown(new WorkGate(), { balancerLagMs: 1000, graceMs: 60_000 }, new Telemetry('test')) })

  it('refuses nothing before the stop', () => {
    expect(refuseWhileStopping(stop, { remainingMs: 3_600_000, expectedMs: 3_600_000 })).toBeUndefined()
  })

  it('refuses what will probably outlast the process, as not run', () => {
    stop.begin(performance.now(), new IdleEdge())
    expect(refuseWhileStopping(stop, { remainingMs: 3_600_000, expectedMs: 70_000 })).toMatchObject({ reason: 'draining', status: 503, run: 'not-run' })
  })

  it('takes what will end in time', () => {
    stop.begin(performance.now(), new IdleEdge())
    expect(refuseWhileStopping(stop, { remainingMs: 10_000, expectedMs: undefined })).toBeUndefined()
    expect(refuseWhileStopping(stop, { remainingMs: 3_600_000, expectedMs: 500 })).toBeUndefined()
  })
})
