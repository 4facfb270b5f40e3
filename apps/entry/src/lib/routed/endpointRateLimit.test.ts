import { afterEach, describe, expect, it } from 'vitest'
import { HostsSimulation, type HostsShape } from './harness/HostsSimulation.js'

const WINDOW_MS = 4000

/** Time in which all hosts are to learn of a limit, in milliseconds. */
const NOTICE_MS = 3000

/** Endpoints that name a rate, of those that there are. */
const LIMITED = [0, 1, 2, 3]

const SHAPES: readonly HostsShape[] = [
  { hosts: 7, endpoints: 13, requestsPerSecond: 20, seed: 1 },
  { hosts: 81, endpoints: 42, requestsPerSecond: 10, seed: 2 },
  { hosts: 195, endpoints: 55, requestsPerSecond: 5, seed: 3 }
]

let simulation: HostsSimulation | undefined
afterEach(() => { simulation?.close() })

/** Hosts that have learnt what the first four endpoints name. */
function limitedSimulation (shape: HostsShape, requestsPerSecond: number): HostsSimulation {
  simulation = new HostsSimulation(shape)
  simulation.run(1000)
  for (const endpoint of LIMITED) simulation.state(endpoint, { requestsPerSecond })
  simulation.run(NOTICE_MS)
  return simulation
}

function mostInWindow (arrivals: readonly number[]): number {
  return Math.max(0, ...arrivals.map(from => arrivals.filter(at => at >= from && at < from + WINDOW_MS).length))
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
})
