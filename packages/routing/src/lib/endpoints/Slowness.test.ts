import { describe, expect, it } from 'vitest'
import { Slowness, type TimedRequests } from './Slowness.js'

function add (one: TimedRequests, other: TimedRequests): TimedRequests {
  return { timed: one.timed + other.timed, doublings: one.doublings + other.doublings }
}

describe('Slowness', () => {
  it('follows an endpoint that turns slow within some requests, and tries it again after some seconds', () => {
    const slowness = new Slowness()
    slowness.observe(400, 100, 0)
    expect(slowness.factor(0)).toBeLessThan(1.5)
    for (let request = 0; request < 9; request += 1) slowness.observe(400, 100, request)
    expect(slowness.factor(9)).toBeGreaterThan(2.5)
    expect(slowness.factor(15_000)).toBeCloseTo(1, 1)
  })

  it('is bounded by what one request may say, and learns that an endpoint is fast as well', () => {
    const slowness = new Slowness()
    for (let request = 0; request < 100; request += 1) slowness.observe(60_000, 1, 0)
    expect(slowness.factor(0)).toBeLessThanOrEqual(5)
    const fast = new Slowness()
    for (let request = 0; request < 100; request += 1) fast.observe(50, 100, 0)
    expect(fast.factor(0)).toBeCloseTo(0.5, 1)
  })

  describe('of 195 hosts that each see an engine every 14 seconds', () => {
    const hosts = Array.from({ length: 195 }, () => new Slowness())
    const ofAll = (now: number): TimedRequests => hosts.map(host => host.recent(now)).reduce(add)

    it('is known to a host that has never sent it anything, two seconds after it turned four times slower', () => {
      for (let now = 0; now < 10_000; now += 71) hosts[now % 195]?.observe(100, 100, now)
      expect(new Slowness().factor(10_000, ofAll(10_000))).toBeCloseTo(1, 1)
      for (let now = 10_000; now < 12_000; now += 71) hosts[now % 195]?.observe(400, 100, now)
      expect(new Slowness().factor(12_000, ofAll(12_000))).toBeGreaterThan(1.7)
      expect(hosts[0]?.factor(12_000) ?? 0).toBeLessThan(1.5)
    })
  })
})
