import { describe, expect, it } from 'vitest'
import { RouteDurations } from './RouteDurations.js'

describe('RouteDurations', () => {
  it('knows nothing of a route that it has not seen', () => {
    expect(new RouteDurations().expectedMs('long', 100)).toBeUndefined()
  })

  it('tells a long answer from a short one of the same route', () => {
    const durations = new RouteDurations()
    for (let tokens = 10; tokens <= 400; tokens += 10) durations.record('reply', 200, tokens * 10, tokens)
    expect(durations.expectedMs('reply', 50)).toBe(700)
    expect(durations.expectedMs('reply', 800)).toBe(8200)
  })

  it('goes by the slow ones among the newest, and forgets what is old', () => {
    const durations = new RouteDurations()
    for (let count = 0; count < 100; count += 1) durations.record('plain', count % 8 === 0 ? 400 : 20, 0, 0)
    expect(durations.expectedMs('plain', 0)).toBe(400)
    for (let count = 0; count < 100; count += 1) durations.record('plain', 20, 0, 0)
    expect(durations.expectedMs('plain', 0)).toBe(20)
  })
})
