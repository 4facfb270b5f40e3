import { afterEach, describe, expect, it } from 'vitest'
import { HostsSimulation, type Arrival, type SimulationOptions } from './harness/HostsSimulation.js'

const WINDOW_MS = 4000

/** Time in which all hosts have to learn of a limit, in milliseconds. */
const PROPAGATION_MS = 3000

/** Indexes of the endpoints that state a rate. */
const LIMITED = [0, 1, 2, 3]

const SHAPES: readonly SimulationOptions[] = [
  { hosts: 7, endpoints: 13, requestsPerSecond: 20, seed: 1 },
  { hosts: 81, endpoints: 42, requestsPerSecond: 10, seed: 2 },
  { hosts: 195, endpoints: 55, requestsPerSecond: 5, seed: 3 }
]

let simulation: HostsSimulation | undefined
afterEach(() => { simulation?.close() })

/** Returns a simulation in which all hosts know the rate that the first four endpoints state. */
function limitedSimulation (shape: SimulationOptions, requestsPerSecond: number): HostsSimulation {
  simulation = new HostsSimulation(shape)
  simulation.run(1000)
  for (const endpoint of LIMITED) simulation.setBehaviour(endpoint, { requestsPerSecond })
  simulation.run(PROPAGATION_MS)
  return simulation
}

function maxInWindow (arrivals: readonly Arrival[]): number {
  return Math.max(0, ...arrivals.map(({ at: from }) => arrivals.filter(({ at }) => at >= from && at < from + WINDOW_MS).length))
}

/** Returns the most requests that may arrive in a window: half as many again as the stated rate allows, and a margin. */
const maxAllowed = (requestsPerSecond: number): number => 1.5 * requestsPerSecond * WINDOW_MS / 1000 + 5

describe('an endpoint that states a rate in its responses', () => {
  describe.each(SHAPES)('before $hosts hosts', shape => {
    // Guards against hosts that send an overloaded endpoint as many requests as any other.
    it.each([0.7, 2.3, 6.1])('gets no more requests from all hosts together than it states: %d a second', requestsPerSecond => {
      const hosts = limitedSimulation(shape, requestsPerSecond)
      const since = performance.now()
      hosts.run(10_000)
      for (const endpoint of LIMITED) expect(maxInWindow(hosts.arrivals(endpoint, since))).toBeLessThanOrEqual(maxAllowed(requestsPerSecond))
      expect(hosts.unplaced).toBe(0)
    })
  })

  describe.each(SHAPES.slice(0, 2))('before $hosts hosts', shape => {
    it('gets a fair part of the rate that it states', () => {
      const hosts = limitedSimulation(shape, 2.3)
      const since = performance.now()
      hosts.run(8000)
      const received = LIMITED.reduce((sum, endpoint) => sum + hosts.arrivals(endpoint, since).length, 0)
      expect(received / LIMITED.length / 8).toBeGreaterThan(2.3 * 0.4)
    })

    it('gets as many requests as the others once it states no rate any more, also from hosts that had no share', () => {
      const hosts = limitedSimulation(shape, 2.3)
      hosts.run(3000)
      for (const endpoint of LIMITED) hosts.setBehaviour(endpoint, {})
      hosts.run(5000)
      const since = performance.now()
      hosts.run(2000)
      const unlimited = hosts.arrivals(LIMITED.length, since).length
      for (const endpoint of LIMITED) expect(hosts.arrivals(endpoint, since).length).toBeGreaterThan(unlimited / 2)
    })
  })

  it('leaves requests unplaced if all endpoints together state a lower rate than the load', () => {
    const shape = { hosts: 7, endpoints: LIMITED.length, requestsPerSecond: 20, seed: 4 }
    const hosts = limitedSimulation(shape, 1)
    const since = performance.now()
    hosts.run(8000)
    for (const endpoint of LIMITED) expect(maxInWindow(hosts.arrivals(endpoint, since))).toBeLessThanOrEqual(maxAllowed(1))
    expect(hosts.unplaced).toBeGreaterThan(0)
  })
})
