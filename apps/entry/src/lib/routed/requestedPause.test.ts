import { afterEach, describe, expect, it } from 'vitest'
import { HostsSimulation, type Arrival, type SimulationOptions } from './harness/HostsSimulation.js'

const PAUSE_MS = 3000

/** Time after a rejection in which requests that were already sent may still arrive, in milliseconds. */
const IN_FLIGHT_MS = 500

/** Most requests of one host that may arrive at an endpoint during a pause. */
const MAX_DURING_PAUSE = 2

/** Indexes of the endpoints that reject requests. */
const REJECTING = [0, 1, 2, 3]

const SHAPES: readonly SimulationOptions[] = [
  { hosts: 7, endpoints: 13, requestsPerSecond: 20, seed: 1 },
  { hosts: 81, endpoints: 42, requestsPerSecond: 10, seed: 2 }
]

let simulation: HostsSimulation | undefined
afterEach(() => { simulation?.close() })

/** Returns the most requests of one host that arrived during any pause that it was asked for. Each rejection begins a pause. */
function maxDuringPauses (arrivals: readonly Arrival[]): number {
  return Math.max(0, ...arrivals.map(({ host, at: from }) =>
    arrivals.filter(({ host: other, at }) => other === host && at > from + IN_FLIGHT_MS && at < from + PAUSE_MS).length))
}

describe('an endpoint that rejects requests and asks for a pause', () => {
  describe.each(SHAPES)('before $hosts hosts', shape => {
    // Guards against hosts that prefer an endpoint that rejects requests at once, because it looks idle.
    it('gets nothing more from a host that it has asked to pause', () => {
      simulation = new HostsSimulation(shape)
      simulation.run(1000)
      const since = performance.now()
      for (const endpoint of REJECTING) simulation.setBehaviour(endpoint, { rejectionPauseMs: PAUSE_MS })
      simulation.run(8000)
      for (const endpoint of REJECTING) expect(maxDuringPauses(simulation.arrivals(endpoint, since))).toBeLessThanOrEqual(MAX_DURING_PAUSE)
      expect(simulation.unplaced).toBe(0)
    })

    it('gets as many requests as the others once it accepts them again', () => {
      simulation = new HostsSimulation(shape)
      for (const endpoint of REJECTING) simulation.setBehaviour(endpoint, { rejectionPauseMs: 1000 })
      simulation.run(2000)
      for (const endpoint of REJECTING) simulation.setBehaviour(endpoint, {})
      simulation.run(3000)
      const since = performance.now()
      simulation.run(2000)
      const others = simulation.arrivals(REJECTING.length, since).length
      for (const endpoint of REJECTING) expect(simulation.arrivals(endpoint, since).length).toBeGreaterThan(others / 2)
    })
  })
})

describe('an endpoint that rejects requests without asking for a pause', () => {
  // Guards against the same preference if no pause is asked for.
  it.each(SHAPES)('gets far fewer than the others from $hosts hosts', shape => {
    simulation = new HostsSimulation(shape)
    simulation.run(1000)
    const since = performance.now()
    for (const endpoint of REJECTING) simulation.setBehaviour(endpoint, { rejectionPauseMs: 0 })
    simulation.run(5000)
    const others = simulation.arrivals(REJECTING.length, since).length
    for (const endpoint of REJECTING) expect(simulation.arrivals(endpoint, since).length).toBeLessThan(others / 2)
    expect(simulation.unplaced).toBe(0)
  })
})
