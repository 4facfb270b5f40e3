/**
 * Guards against a plain service whose endpoints reject calls while others have room, and against hosts that hold calls
 * back for too long. The load pattern: 28 hosts before 4 endpoints that work on 6 calls each and let 24 more wait; 212
 * calls a second, in clumps of 3, whose rate swings by half, with bursts of 1.7 times the rate for 3 s.
 */
import { afterEach, describe, expect, it } from 'vitest'
import { PlainServiceSimulation, type PlainServiceOptions } from './harness/PlainServiceSimulation.js'

const SERVICE: PlainServiceOptions = {
  hosts: 28, endpoints: 4, slots: 6, backlog: 24, workMs: 62, callsPerSecond: 212, swing: 0.5, burst: 1.7, hasWaitingOrder: true, seed: 1
}

let simulation: PlainServiceSimulation | undefined
afterEach(() => { simulation?.close() })

function simulate (options: Partial<PlainServiceOptions> = {}): PlainServiceSimulation {
  simulation = new PlainServiceSimulation({ ...SERVICE, ...options })
  return simulation
}

/** Returns the figures of a run in which demand is above capacity for a while. */
function figuresOf (options: Partial<PlainServiceOptions>): PlainServiceSimulation['figures'] {
  const run = simulate(options)
  run.run(6000)
  run.idle(2500)
  const { figures } = run
  run.close()
  return figures
}

describe('a plain service with more calls than it works on at once', () => {
  it('rejects at most 10 in 1,000 arrivals, where it rejected many, and serves no fewer calls', () => {
    const before = figuresOf({ hasWaitingOrder: false })
    const after = figuresOf({})
    expect(before.rejections / before.arrivals).toBeGreaterThan(0.05)
    expect(after.rejections / after.arrivals).toBeLessThanOrEqual(0.01)
    expect(after.served / after.calls).toBeGreaterThanOrEqual(before.served / before.calls)
  }, 240_000)

  it('serves the calls of a host that is cut off from the leader', () => {
    const run = simulate({ callsPerSecond: 300, burst: 1 })
    run.leader.cutOff.add(run.nameOf(0))
    run.run(2000)
    const calls = Array.from({ length: 12 }, () => run.call(0))
    run.idle(50)
    // A host that waited for the leader for the whole time would refuse them.
    run.run(1500)
    expect(calls.map(({ status }) => status)).toEqual(calls.map(() => 200))
  }, 240_000)
})

describe('a call that waits', () => {
  /** Returns a simulation of two hosts with one endpoint, whose places are all taken for a while. */
  /** More calls than the places of the only endpoint, also while the duration of its answers is assumed to be short. */
  const BUSY_CALLS = 8

  function busyService (): PlainServiceSimulation {
    const run = simulate({ hosts: 2, endpoints: 1, slots: 1, workMs: 300, callsPerSecond: 0 })
    for (let call = 0; call < BUSY_CALLS; call += 1) {
      run.call(0)
      run.idle(30)
    }
    return run
  }

  it('is neither granted nor sent once its caller has left', () => {
    const run = busyService()
    const call = run.call(1)
    run.idle(50)
    expect(run.waitingAt(1).size).toBe(1)
    call.leave()
    run.idle(20)
    expect(run.waitingAt(1).size).toBe(0)
    expect(run.leader.asked.get(run.nameOf(1))?.at(-1)?.waiting).toEqual([])
    run.idle(3000)
    expect(run.figures.arrivals).toBe(BUSY_CALLS)
  })

  it('causes no questions once nothing waits', () => {
    const run = busyService()
    run.idle(4000)
    const asked = run.leader.asked.get(run.nameOf(0))?.length
    run.idle(5000)
    expect(run.leader.asked.get(run.nameOf(0))?.length).toBe(asked)
  })

  it('gets a 503 with Retry-After, and no 504, if no endpoint takes it until its deadline', () => {
    const run = simulate({ hosts: 2, endpoints: 1, callsPerSecond: 0 })
    for (const endpoint of run.endpoints) endpoint.isClosed = true
    const call = run.call(0)
    run.idle(3000)
    expect(call.status).toBe(503)
    expect(call.retryAfterSeconds).toBeGreaterThan(0)
  })

  it('is served although its endpoint rejected it more often than a request may be sent', () => {
    const run = simulate({ hosts: 1, endpoints: 1, callsPerSecond: 0 })
    // They earn the retry budget for the further sends.
    for (let call = 0; call < 120; call += 1) {
      run.call(0)
      run.idle(20)
    }
    for (const endpoint of run.endpoints) endpoint.isClosed = true
    const call = run.call(0)
    run.idle(400)
    expect(run.endpoints[0]?.rejections).toBeGreaterThan(4)
    for (const endpoint of run.endpoints) endpoint.isClosed = false
    run.idle(500)
    expect(call.status).toBe(200)
  })
})
