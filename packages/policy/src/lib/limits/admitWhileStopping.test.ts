import { describe, expect, it } from 'vitest'
import { admitWhileStopping, type StoppingSituation } from './admitWhileStopping.js'

const situation = (overrides: Partial<StoppingSituation>): StoppingSituation =>
  ({ leftMs: 8000, remainingMs: 12_000, expectedMs: undefined, isBalancerLagOver: false, ...overrides })

describe('admitWhileStopping', () => {
  describe('a request whose own time ends before the process', () => {
    it('is taken, whoever knows of the stop', () => {
      expect(admitWhileStopping(situation({ remainingMs: 3000, isBalancerLagOver: true }))).toBe(true)
      expect(admitWhileStopping(situation({ remainingMs: 3000 }))).toBe(true)
    })

    it('is not taken when it could end in the very last moment', () => {
      expect(admitWhileStopping(situation({ leftMs: 3100, remainingMs: 3000, isBalancerLagOver: true }))).toBe(false)
    })
  })

  describe('a request that could outlast the process', () => {
    it('is not taken once the balancer knows, however short it is expected to be', () => {
      expect(admitWhileStopping(situation({ expectedMs: 10, isBalancerLagOver: true }))).toBe(false)
    })

    it('is not taken in the last moment, whatever the balancer knows', () => {
      expect(admitWhileStopping(situation({ leftMs: 300 }))).toBe(false)
    })

    it('is taken before that unless it is expected to outlast it', () => {
      expect(admitWhileStopping(situation({}))).toBe(true)
      expect(admitWhileStopping(situation({ expectedMs: 5000 }))).toBe(true)
      expect(admitWhileStopping(situation({ expectedMs: 7900 }))).toBe(false)
    })
  })
})
