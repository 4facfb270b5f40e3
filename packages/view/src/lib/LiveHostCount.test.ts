import { describe, expect, it } from 'vitest'
import { COUNT_RETENTION_MS, LiveHostCount } from './LiveHostCount.js'

describe('LiveHostCount', () => {
  const counted = (...reports: ReadonlyArray<readonly [count: number, at: number]>): LiveHostCount => {
    const count = new LiveHostCount()
    for (const [hosts, at] of reports) count.observe(hosts, at)
    return count
  }

  it('takes the largest count of late', () => {
    const count = counted([7, 0], [6, 900])
    expect(count.at(950)).toBe(7)
    expect(count.at(COUNT_RETENTION_MS + 1)).toBe(6)
    expect(counted([6, 0], [7, 10]).at(20)).toBe(7)
  })

  // Guards against hosts that each spend the whole of a shared bound while no control host is there to count them.
  it('does not take this host for the only one while no control host can be reached', () => {
    expect(counted([81, 0]).at(60 * COUNT_RETENTION_MS)).toBe(81)
  })

  // Guards against the same when all control hosts have just started and count whoever has reported by then.
  it('does not follow control hosts that have just started and know few hosts yet', () => {
    expect(counted([81, 0], [1, 5000], [3, 5010], [2, 5020]).at(5030)).toBe(81)
  })

  it('is one before anything was stated', () => {
    expect(new LiveHostCount().at(0)).toBe(1)
    expect(counted([0, 0]).at(0)).toBe(1)
  })
})
