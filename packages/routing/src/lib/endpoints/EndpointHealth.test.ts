import { describe, expect, it } from 'vitest'
import { EndpointHealth, type RequestOutcome } from './EndpointHealth.js'

/** Makes a seeded generator of numbers in [0, 1). */
function seededRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}

function countPauses (failing: number, peersShare: number, requests: number): number {
  const health = new EndpointHealth()
  const random = seededRandom(7)
  let pauses = 0
  for (let request = 0; request < requests; request += 1) {
    const outcome: RequestOutcome = random() < failing ? 'failure' : 'success'
    if (health.observe(outcome, request * 100, peersShare)) pauses += 1
  }
  return pauses
}

describe('EndpointHealth', () => {
  it('does not consider an endpoint faulty for requests that fail wherever they run', () => {
    expect(countPauses(0.14, 0.14, 2000)).toBe(0)
  })

  it('detects an endpoint that fails half of its requests, whatever its health check says', () => {
    expect(countPauses(0.55, 0.14, 100)).toBeGreaterThan(0)
  })

  it('pauses an unreachable endpoint at once, longer each time, and starts again after a success', () => {
    const health = new EndpointHealth()
    health.observe('unreachable', 0)
    expect(health.isPaused(499)).toBe(true)
    expect(health.isPaused(500)).toBe(false)
    health.observe('unreachable', 500)
    expect(health.isPaused(1400)).toBe(true)
    health.observe('success', 2000)
    health.observe('unreachable', 2000)
    expect(health.isPaused(2500)).toBe(false)
  })
})

describe('rejections', () => {
  it('count among the outcomes that hosts report to each other, for a second or two', () => {
    const health = new EndpointHealth()
    for (let number = 0; number < 4; number += 1) health.observeRejection(0)
    expect(health.recentOutcomes(0)).toEqual({ outcomes: 4, failures: 4 })
    expect(health.recentOutcomes(4000).failures).toBeLessThan(0.5)
  })

  it('neither pause the endpoint for this host nor count in its failure share', () => {
    const health = new EndpointHealth()
    for (let number = 0; number < 50; number += 1) health.observeRejection(0)
    health.observe('success', 10)
    expect(health.isPaused(10)).toBe(false)
    expect(health.failureShare).toBe(0)
    expect(health.recentOutcomes(60_000).failures).toBeCloseTo(0)
  })
})
