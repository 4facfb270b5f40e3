import { describe, expect, it } from 'vitest'
import { admitDuringShutdown, type ShutdownContext } from './admitDuringShutdown.js'

const createContext = (overrides: Partial<ShutdownContext>): ShutdownContext =>
  ({ timeToKillMs: 8000, remainingMs: 12_000, expectedMs: undefined, hasBalancerLagElapsed: false, ...overrides })

describe('admitDuringShutdown', () => {
  describe('a request whose deadline is before the kill', () => {
    it('is admitted, whether or not the balancer has noticed the shutdown', () => {
      expect(admitDuringShutdown(createContext({ remainingMs: 3000, hasBalancerLagElapsed: true }))).toBe(true)
      expect(admitDuringShutdown(createContext({ remainingMs: 3000 }))).toBe(true)
    })

    it('is refused when it could end within the reserve before the kill', () => {
      expect(admitDuringShutdown(createContext({ timeToKillMs: 3100, remainingMs: 3000, hasBalancerLagElapsed: true }))).toBe(false)
    })
  })

  describe('a request whose deadline is after the kill', () => {
    it('is refused once the balancer has noticed, however short it is expected to be', () => {
      expect(admitDuringShutdown(createContext({ expectedMs: 10, hasBalancerLagElapsed: true }))).toBe(false)
    })

    it('is refused within the reserve before the kill, whether or not the balancer has noticed', () => {
      expect(admitDuringShutdown(createContext({ timeToKillMs: 300 }))).toBe(false)
    })

    it('is admitted before that, unless it is expected to end after the kill', () => {
      expect(admitDuringShutdown(createContext({}))).toBe(true)
      expect(admitDuringShutdown(createContext({ expectedMs: 5000 }))).toBe(true)
      expect(admitDuringShutdown(createContext({ expectedMs: 7900 }))).toBe(false)
    })
  })
})
