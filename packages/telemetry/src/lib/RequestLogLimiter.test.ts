import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { RequestLogLimiter } from './RequestLogLimiter.js'

describe('RequestLineLimit', () => {
  let reports: number[] = []
  let limit: RequestLogLimiter
  beforeEach(() => {
    vi.useFakeTimers()
    reports = []
    limit = new RequestLogLimiter(10, count => { reports.push(count) })
  })
  afterEach(() => { vi.useRealTimers() })

  function admitted (lines: number, isOrdinary: boolean, now: number): number {
    return Array.from({ length: lines }, () => limit.admits(isOrdinary, now)).filter(Boolean).length
  }

  it('reserves half of the limit for failures, even after many ordinary lines', () => {
    expect(admitted(100, true, 0)).toBe(5)
    expect(admitted(100, false, 0)).toBe(5)
  })

  it('lets failures use the whole limit', () => {
    expect(admitted(100, false, 0)).toBe(10)
    expect(admitted(100, true, 0)).toBe(0)
  })

  it('resets the limit every second', () => {
    expect(admitted(11, false, 500)).toBe(10)
    expect(admitted(11, false, 1499)).toBe(0)
    expect(admitted(11, false, 1500)).toBe(10)
  })

  it('counts omitted lines and reports each of them once', () => {
    admitted(13, false, 0)
    admitted(2, true, 0)
    expect(limit.omittedCount).toBe(5)
    vi.advanceTimersByTime(1000)
    expect(reports).toEqual([5])
    vi.advanceTimersByTime(5000)
    expect(reports).toEqual([5])
    admitted(12, false, 5000)
    vi.advanceTimersByTime(1000)
    expect(reports).toEqual([5, 2])
    expect(limit.omittedCount).toBe(7)
  })

  it('reports omitted lines that are not reported yet when the process ends', () => {
    admitted(12, false, 0)
    limit.reportNow()
    limit.reportNow()
    vi.advanceTimersByTime(5000)
    expect(reports).toEqual([2])
  })
})
