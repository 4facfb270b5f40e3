import { afterEach, describe, expect, it } from 'vitest'
import { HostsSimulation, type Arrival, type SimulationOptions } from './harness/HostsSimulation.js'

const WINDOW_MS = 4000

/** Time in which all hosts are to learn of a limit, in milliseconds. */
const NOTICE_MS = 3000

/** Endpoints that name a rate, of those that there are. */
const LIMITED = [0, 1, 2, 3]

const SHAPES: readonly SimulationOptions[] = [
  { hosts: 7, endpoints: 13, requestsPerSecond: 20, seed: 1 },
  { hosts: 81, endpoints: 42, requestsPerSecond: 10, seed: 2 },
  { hosts: 195, endpoints: 55, requestsPerSecond: 5, seed: 3 }
]

let simulation: HostsSimulation | undefined
afterEach(() => { simulation?.close() })

/** Hosts that have learnt what the first four endpoints name. */
function limitedSimulation (shape: SimulationOptions, requestsPerSecond: number): HostsSimulation {
  simulation = new HostsSimulation(shape)
  simulation.run(1000)
  for (const endpoint of LIMITED) simulation.setBehaviour(endpoint, { requestsPerSecond })
  simulation.run(NOTICE_MS)
  return simulation
}

function mostInWindow (arrivals: readonly Arrival[]): number {
  return Math.max(0, ...arrivals.map(({ at: from }) => arrivals.filter(({ at }) => at >= from && at < from + WINDOW_MS).length))
}

/** Half as much again as what it names, and some. */
const mostAllowed = (requestsPerSecond: number): number => 1.5 * requestsPerSecond * WINDOW_MS / 1000 + 5

describe('an endpoint that names a rate in its answers', () => {
  describe.each(SHAPES)('before $hosts hosts', shape => {
    // Guards against hosts that send an endpoint in need as much as any other.
    it.each([0.7, 2.3, 6.1])('gets no more requests than it names over all hosts: %d a second', requestsPerSecond => {
      const hosts = limitedSimulation(shape, requestsPerSecond)
      const since = performance.now()
      hosts.run(10_000)
      for (const endpoint of LIMITED) expect(mostInWindow(hosts.arrivals(endpoint, since))).toBeLessThanOrEqual(mostAllowed(requestsPerSecond))
      expect(hosts.unplaced).toBe(0)
    })
  })

  describe.each(SHAPES.slice(0, 2))('before $hosts hosts', shape => {
    it('gets a fair part of what it names', () => {
      const hosts = limitedSimulation(shape, 2.3)
      const since = performance.now()
      hosts.run(8000)
      const received = LIMITED.reduce((sum, endpoint) => sum + hosts.arrivals(endpoint, since).length, 0)
      expect(received / LIMITED.length / 8).toBeGreaterThan(2.3 * 0.4)
    })

    it('gets as much as the others once it names none any more, also from hosts that had no part', () => {
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

  it('sends callers away at once where all endpoints name less than is asked for', () => {
    const shape = { hosts: 7, endpoints: LIMITED.length, requestsPerSecond: 20, seed: 4 }
    const hosts = limitedSimulation(shape, 1)
    const since = performance.now()
    hosts.run(8000)
    for (const endpoint of LIMITED) expect(mostInWindow(hosts.arrivals(endpoint, since))).toBeLessThanOrEqual(mostAllowed(1))
    expect(hosts.unplaced).toBeGreaterThan(0)
  })
})
