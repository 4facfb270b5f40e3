import { describe, expect, it } from 'vitest'
import { CostPlacement } from './CostPlacement.js'
import { decideExport, type KeepRequest } from './decideExport.js'
import type { EngineCandidate, PlacementRequest, PlacementWeights } from './placementTypes.js'

const FIRST_TOKEN: PlacementWeights = { firstTokenMillisecond: 1, recomputedToken: 0, linkKilobyte: 0 }
const RECOMPUTED: PlacementWeights = { firstTokenMillisecond: 0, recomputedToken: 1, linkKilobyte: 0.001 }

const engine = (name: string, overrides: Partial<EngineCandidate> = {}): EngineCandidate => ({
  name, dataCentre: 'hall', version: 'v1', residentBlocks: 0, queuedTokens: 0, running: 0, maxRunning: 8, meanRunMs: 100, prefillTokensPerMs: 1, ...overrides
})

const STORED = [16, 32].map((coversTo, index) => ({ name: `o${index}`, store: 's', dataCentre: 'hall', bytes: 100_000, coversTo }))

const request = (overrides: Partial<PlacementRequest> = {}): PlacementRequest => ({
  promptTokens: 2560,
  tokensPerBlock: 64,
  stored: STORED,
  links: new Map([['s', { bytesPerMs: 1000, backlogBytes: 0 }]]),
  ...overrides
})

describe('CostPlacement', () => {
  const best = (weights: PlacementWeights, of: PlacementRequest, engines: EngineCandidate[]): ReturnType<CostPlacement['rank']>[number] | undefined =>
    new CostPlacement(weights, () => 0.99).rank(of, engines)[0]

  describe('cuts', () => {
    it('imports as far as that is faster than computing', () => {
      const placement = best(FIRST_TOKEN, request(), [engine('a')])
      expect(placement?.imports.map(({ name }) => name)).toEqual(['o0', 'o1'])
      expect(placement?.firstTokenMs).toBe(200 + 512)
    })

    it('computes when the link is slower than the engine', () => {
      const slow = request({ links: new Map([['s', { bytesPerMs: 50, backlogBytes: 0 }]]) })
      expect(best(FIRST_TOKEN, slow, [engine('a')])?.imports).toEqual([])
    })

    it('counts what is queued on the link', () => {
      const busy = request({ links: new Map([['s', { bytesPerMs: 1000, backlogBytes: 3_000_000 }]]) })
      expect(best(FIRST_TOKEN, busy, [engine('a')])?.imports).toEqual([])
      expect(best(RECOMPUTED, busy, [engine('a')])?.imports).toHaveLength(2)
    })

    it('imports only what the engine does not hold', () => {
      const placement = best(FIRST_TOKEN, request(), [engine('a', { residentBlocks: 20 })])
      expect(placement?.imports.map(({ name }) => name)).toEqual(['o1'])
    })

    it('imports during the wait for a busy engine', () => {
      const placement = best(FIRST_TOKEN, request(), [engine('a', { queuedTokens: 300 })])
      expect(placement?.firstTokenMs).toBe(300 + 512)
    })
  })

  describe('engines', () => {
    it('leaves a resident prefix for an idle engine when the wait costs more', () => {
      const engines = [engine('resident', { residentBlocks: 8, queuedTokens: 2000 }), engine('idle')]
      expect(best(FIRST_TOKEN, request({ stored: [] }), engines)?.engine.name).toBe('idle')
      expect(best(RECOMPUTED, request({ stored: [] }), engines)?.engine.name).toBe('resident')
    })

    it('waits for a place on a full engine', () => {
      const engines = [engine('full', { running: 8 }), engine('free', { queuedTokens: 5 })]
      expect(best(FIRST_TOKEN, request({ stored: [] }), engines)?.engine.name).toBe('free')
    })

    it('does not let a wait pass as a near-tie because the prompt is long', () => {
      const long = request({ promptTokens: 100_000, stored: [] })
      const policy = new CostPlacement({ ...FIRST_TOKEN, recomputedToken: 1 }, () => 0)
      const engines = [engine('idle'), engine('busy', { queuedTokens: 40 })]
      const chosen = new Set(Array.from({ length: 20 }, () => policy.rank(long, engines)[0]?.engine.name))
      expect([...chosen]).toEqual(['idle'])
    })

    it('spreads near-ties', () => {
      let state = 1
      const policy = new CostPlacement(FIRST_TOKEN, () => {
        state = (state * 48_271) % 2_147_483_647
        return state / 2_147_483_647
      })
      const engines = ['a', 'b', 'c', 'd'].map(name => engine(name))
      const chosen = new Set(Array.from({ length: 40 }, () => policy.rank(request({ stored: [] }), engines)[0]?.engine.name))
      expect(chosen.size).toBe(4)
    })
  })
})

describe('decideKeep', () => {
  const keep = (overrides: Partial<KeepRequest>): string => decideExport({
    keep: 'by-value',
    returnChance: 0.5,
    expectedGapSeconds: 900,
    residenceSeconds: 60,
    missingTokens: 1024,
    missingBytes: 512 * 1024,
    prefillTokensPerMs: 8,
    weights: { firstTokenMillisecond: 1, recomputedToken: 0.1, linkKilobyte: 0.01 },
    linkUtilization: 0,
    ...overrides
  })

  it('exports what is worth crossing the link', () => {
    expect(keep({})).toBe('export')
    expect(keep({ returnChance: 0.01 })).toBe('not-worth-link')
  })

  it('leaves a busy link to imports', () => {
    expect(keep({ linkUtilization: 0.9 })).toBe('link-busy')
  })

  it('does not export what stays in the engine until its return', () => {
    expect(keep({ residenceSeconds: 2000 })).toBe('stays-resident')
    expect(keep({ residenceSeconds: undefined })).toBe('export')
  })

  it('follows a profile that keeps always or never', () => {
    expect(keep({ keep: 'always', returnChance: 0 })).toBe('export')
    expect(keep({ keep: 'never' })).toBe('profile-never')
    expect(keep({ keep: 'always', missingTokens: 10 })).toBe('nothing-missing')
  })
})
