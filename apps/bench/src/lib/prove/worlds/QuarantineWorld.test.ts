import { describe, expect, it } from 'vitest'
import { CheckRecorder } from '../CheckRecorder.js'
import { FAULT_KINDS, Simulation, type FaultKind } from '../Simulation.js'
import { QuarantineWorld, SMALL_SHAPE, type QuarantineShape } from './QuarantineWorld.js'

const LARGE_SHAPE: QuarantineShape = { hosts: 195, endpoints: 55, requestsPerSecond: 400, poison: 2, poisonParts: 1, durationMs: 20_000 }

const TIMEOUT_MS = 120_000

/** Runs the world in virtual time, without a real network; the same seed gives the same run. */
async function runWorld (seed: number, shape: QuarantineShape, kinds: readonly FaultKind[] = FAULT_KINDS): Promise<CheckRecorder> {
  const simulation = new Simulation(seed, new Set(kinds))
  const recorder = new CheckRecorder(() => simulation.executedEvents)
  await new QuarantineWorld(simulation, recorder, undefined, shape).run()
  return recorder
}

describe('requests that crash endpoints', () => {
  describe.each([['8 hosts', SMALL_SHAPE], ['195 hosts', LARGE_SHAPE]])('behind %s', (_name, shape) => {
    it.each([11, 12, 13])('are quarantined, and no other request is (seed %i)', async seed => {
      const recorder = await runWorld(seed, shape)
      expect(recorder.violations).toEqual([])
      expect(recorder.checks.get('poison-requests-stop')).toBeGreaterThan(0)
      expect(recorder.checks.get('bystanders-are-served')).toBeGreaterThan(1000)
    }, TIMEOUT_MS)
  })

  /** Injects no faults besides those of the network, because late runs shortly after a control fault would not be counted. */
  it.each([21, 22, 23])('stay quarantined when the leading control host is lost for good and all entry hosts restart (seed %i)', async seed => {
    const recorder = await runWorld(seed, { ...SMALL_SHAPE, leaderLostAtMs: 8000, hostsRestartAtMs: 14_000 }, ['loss', 'delay', 'duplicate'])
    expect(recorder.violations).toEqual([])
    expect(recorder.checks.get('poison-requests-stop')).toBeGreaterThan(50)
  }, TIMEOUT_MS)

  it('are detected after the loss of the leader that held the first reports', async () => {
    const recorder = await runWorld(31, { ...SMALL_SHAPE, leaderLostAtMs: 1500 }, ['loss', 'delay', 'duplicate'])
    expect(recorder.violations).toEqual([])
    expect(recorder.checks.get('poison-requests-stop')).toBeGreaterThan(50)
  }, TIMEOUT_MS)
})
