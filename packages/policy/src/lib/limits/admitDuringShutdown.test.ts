import { describe, expect, it } from 'vitest'
import { admitDuringShutdown, type StoppingSituation } from './admitDuringShutdown.js'

const situation = (overrides: Partial<StoppingSituation>): StoppingSituation =>
  ({ timeToKillMs: 8000, remainingMs: 12_000, expectedMs: undefined, hasBalancerLagElapsed: false, ...overrides })

describe('admitWhileStopping', () => {
  describe('a request whose own time ends before the process', () => {
    it('is taken, whoever knows of the stop', () => {
      expect(admitDuringShutdown(situation({ remainingMs: 3000, hasBalancerLagElapsed: true }))).toBe(true)
      expect(admitDuringShutdown(situation({ remainingMs: 3000 }))).toBe(true)
    })

    it('is not taken when it could end in the very last moment', () => {
      expect(admitDuringShutdown(situation({ timeToKillMs: 3100, remainingMs: 3000, hasBalancerLagElapsed: true }))).toBe(false)
    })
  })

  describe('a request that could outlast the process', () => {
    it('is not taken once the balancer knows, however short it is expected to be', () => {
      expect(admitDuringShutdown(situation({ expectedMs: 10, hasBalancerLagElapsed: true }))).toBe(false)
    })

    it('is not taken in the last moment, whatever the balancer knows', () => {
      expect(admitDuringShutdown(situation({ timeToKillMs: 300 }))).toBe(false)
    })

    it('is taken before that unless it is expected to outlast it', () => {
      expect(admitDuringShutdown(situation({}))).toBe(true)
      expect(admitDuringShutdown(situation({ expectedMs: 5000 }))).toBe(true)
      expect(admitDuringShutdown(situation({ expectedMs: 7900 }))).toBe(false)
    })
  })
})
