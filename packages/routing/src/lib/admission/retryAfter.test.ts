import { describe, expect, it } from 'vitest'
import { retryAfterMs } from './retryAfter.js'

describe('returnAfterMs', () => {
  it('spreads callers that were refused together', () => {
    const returns = [0, 0.25, 0.5, 0.999].map(random => retryAfterMs(600, 9000, random))
    expect(returns).toEqual([...returns].sort((left, right) => left - right))
    expect((returns.at(-1) ?? 0) - (returns[0] ?? 0)).toBeGreaterThan(700)
  })

  it('never sends anybody back sooner than wanted, unless the time left is short', () => {
    expect(retryAfterMs(600, 9000, 0)).toBe(800)
    expect(retryAfterMs(600, 900, 0)).toBe(300)
    expect(retryAfterMs(600, -5, 0.5)).toBe(0)
    expect(retryAfterMs(-100, 9000, 0)).toBe(200)
  })
})
