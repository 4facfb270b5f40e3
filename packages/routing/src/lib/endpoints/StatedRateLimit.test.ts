import { describe, expect, it } from 'vitest'
import { StatedRateLimit } from './StatedRateLimit.js'

describe('StatedRateLimit', () => {
  it('is lifted by the first answer that states no rate, and not by an older statement from another host', () => {
    const limit = new StatedRateLimit()
    expect(limit.observeAnswer(2, 1000)).toBe(true)
    expect(limit.observeStatement({ requestsPerSecond: undefined, statedAgoMs: 200 }, 1100)).toBe(false)
    expect(limit.requestsPerSecond).toBe(2)
    expect(limit.observeAnswer(undefined, 1200)).toBe(true)
    expect(limit.requestsPerSecond).toBeUndefined()
  })

  it('stores each rate, and reports a notable change only from a quarter on', () => {
    const limit = new StatedRateLimit()
    limit.observeAnswer(2, 0)
    expect(limit.observeAnswer(2.1, 10)).toBe(false)
    expect(limit.requestsPerSecond).toBe(2.1)
    expect(limit.observeAnswer(3, 20)).toBe(true)
    expect(limit.observeAnswer(0, 30)).toBe(true)
  })

  it('is reported to other hosts only for a while after this host has read it itself', () => {
    const limit = new StatedRateLimit()
    expect(limit.statement(0)).toBeUndefined()
    limit.observeStatement({ requestsPerSecond: 2, statedAgoMs: 0 }, 0)
    expect(limit.statement(10)).toBeUndefined()
    limit.observeAnswer(2, 100)
    expect(limit.statement(200)).toEqual({ requestsPerSecond: 2, statedAgoMs: 100 })
    expect(limit.statement(5000)).toBeUndefined()
  })
  // Guards against limits that stay in force because a host passes on what it has read with the age at which it came back to it.
  it('does not become newer when the statement of this host comes back late', () => {
    const limit = new StatedRateLimit()
    limit.observeAnswer(2, 0)
    for (let now = 25; now <= 1000; now += 25) {
      const reported = limit.statement(now)
      if (reported !== undefined) limit.observeStatement(reported, now + 20)
    }
    expect(limit.statement(1100)).toEqual({ requestsPerSecond: 2, statedAgoMs: 1100 })
  })
})
