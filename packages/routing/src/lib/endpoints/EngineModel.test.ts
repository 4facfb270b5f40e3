import { describe, expect, it } from 'vitest'
import { EngineModel, type EngineLoad } from './EngineModel.js'

/** Makes a seeded generator of numbers in [0, 1). */
function seededRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1_103_515_245) + 12_345) >>> 0
    return state / 2 ** 32
  }
}

/** Speed of the engines of a pool: prefilled tokens a millisecond, a fixed time, and the time per running request. */
interface Pool {
  readonly tokensPerMs: number
  readonly fixedMs: number
  readonly runningMs: number
}

function train (model: EngineModel, pool: Pool, requests: number, seed = 1): void {
  const random = seededRandom(seed)
  for (let request = 0; request < requests; request += 1) {
    const load: EngineLoad = { tokensToRead: 200 + random() * 10_000, tokensAhead: random() * 10_000, requests: Math.floor(random() * 20) }
    const noise = 0.8 + random() * 0.4
    const tokens = load.tokensToRead + load.tokensAhead
    model.observe(load, (pool.fixedMs + tokens / pool.tokensPerMs + load.requests * pool.runningMs) * noise)
  }
}

describe('EngineModel', () => {
  describe('engines of any speed', () => {
    it.each([20, 42, 92, 140, 400])('that prefill %i tokens a millisecond are learnt from a hundred requests, so that a typical estimate is within a tenth', tokensPerMs => {
      const model = new EngineModel()
      const pool = { tokensPerMs, fixedMs: 40, runningMs: 4 }
      train(model, pool, 100)
      const estimate = model.fixedMs + model.prefillMs(7000) + model.waitMs({ tokensAhead: 3000, requests: 8 })
      const actual = 40 + 10_000 / tokensPerMs + 4 * 8
      expect(Math.abs(estimate / actual - 1)).toBeLessThan(0.1)
    })

    it('are learnt again when the speed changes', () => {
      const model = new EngineModel()
      train(model, { tokensPerMs: 140, fixedMs: 40, runningMs: 3 }, 500)
      train(model, { tokensPerMs: 42, fixedMs: 40, runningMs: 3 }, 500, 2)
      expect(model.tokensPerMs).toBeGreaterThan(34)
      expect(model.tokensPerMs).toBeLessThan(50)
    })
  })

  describe('one engine among thirteen that takes thirty times as long', () => {
    it('changes the estimate only a little', () => {
      const pool = { tokensPerMs: 92, fixedMs: 40, runningMs: 3 }
      const sound = new EngineModel()
      const disturbed = new EngineModel()
      train(sound, pool, 400)
      train(disturbed, pool, 400)
      for (let request = 0; request < 13; request += 1) disturbed.observe({ tokensToRead: 9000, tokensAhead: 0, requests: 5 }, 4000)
      train(disturbed, pool, 140, 3)
      expect(disturbed.prefillMs(9000) + disturbed.fixedMs).toBeLessThan((sound.prefillMs(9000) + sound.fixedMs) * 1.25)
    })
  })

  describe('impossible figures', () => {
    it.each([Number.NaN, Number.POSITIVE_INFINITY])('such as %d are ignored', milliseconds => {
      const model = new EngineModel()
      model.observe({ tokensToRead: 1000, tokensAhead: 0, requests: 1 }, milliseconds)
      model.observe({ tokensToRead: milliseconds, tokensAhead: 0, requests: 1 }, 100)
      expect(model.tokensPerMs).toBe(80)
    })

    it('such as no time at all, or hours, keep the coefficients within their bounds', () => {
      const model = new EngineModel()
      for (let request = 0; request < 2000; request += 1) model.observe({ tokensToRead: 9000, tokensAhead: 0, requests: 9 }, 0)
      expect(model.tokensPerMs).toBeLessThanOrEqual(500)
      for (let request = 0; request < 2000; request += 1) model.observe({ tokensToRead: 9000, tokensAhead: 0, requests: 9 }, 1e9)
      expect(model.tokensPerMs).toBeGreaterThanOrEqual(20)
    })
  })
})
