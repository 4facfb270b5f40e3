import { describe, expect, it } from 'vitest'
import { reportIntervalMs } from './LoadReporter.js'

describe('reportIntervalMs', () => {
  it('is short while hosts are few', () => {
    expect(reportIntervalMs(1)).toBe(50)
    expect(reportIntervalMs(8)).toBe(50)
  })

  it('bounds what all hosts together send to the one that adds up', () => {
    expect(73 * 1000 / reportIntervalMs(73)).toBeCloseTo(720)
  })

  it('never grows beyond what keeps the answers usable', () => {
    expect(reportIntervalMs(340)).toBe(200)
  })
})
