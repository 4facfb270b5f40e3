import { describe, expect, it } from 'vitest'
import { COUNT_RETENTION_MS, LiveHostCount } from './LiveHostCount.js'

describe('LiveHostCount', () => {
  const countAfter = (...reports: ReadonlyArray<readonly [count: number, at: number]>): LiveHostCount => {
    const count = new LiveHostCount()
    for (const [hosts, at] of reports) count.observe(hosts, at)
    return count
  }

  it('returns the largest recent count', () => {
    const count = countAfter([7, 0], [6, 900])
    expect(count.at(950)).toBe(7)
    expect(count.at(COUNT_RETENTION_MS + 1)).toBe(6)
    expect(countAfter([6, 0], [7, 10]).at(20)).toBe(7)
  })

  // Without a kept count, each host would use the whole of a shared limit while no control host is reachable.
  it('keeps the last count while no control host can be reached', () => {
    expect(countAfter([81, 0]).at(60 * COUNT_RETENTION_MS)).toBe(81)
  })

  // Control hosts that have just started count only the hosts that have reported so far; each host would use too much of a shared limit.
  it('ignores lower counts of control hosts that have just started', () => {
    expect(countAfter([81, 0], [1, 5000], [3, 5010], [2, 5020]).at(5030)).toBe(81)
  })

  it('is one before the first report', () => {
    expect(new LiveHostCount().at(0)).toBe(1)
    expect(countAfter([0, 0]).at(0)).toBe(1)
  })
})
