import { describe, expect, it } from 'vitest'
import { CostPlacement } from './CostPlacement.js'
import { decideExport, type ExportContext } from './decideExport.js'
import type { EngineCandidate, PlacementRequest, PlacementWeights } from './placementTypes.js'

const LATENCY_WEIGHTS: PlacementWeights = { firstTokenMillisecond: 1, recomputedToken: 0, linkKilobyte: 0 }
const RECOMPUTE_WEIGHTS: PlacementWeights = { firstTokenMillisecond: 0, recomputedToken: 1, linkKilobyte: 0.001 }

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

  describe('imports', () => {
    it('imports stored objects while that is faster than computing', () => {
      const placement = best(LATENCY_WEIGHTS, request(), [engine('a')])
      expect(placement?.imports.map(({ name }) => name)).toEqual(['o0', 'o1'])
      expect(placement?.firstTokenMs).toBe(200 + 512)
    })

    it('computes when the link is slower than the engine', () => {
      const slow = request({ links: new Map([['s', { bytesPerMs: 50, backlogBytes: 0 }]]) })
      expect(best(LATENCY_WEIGHTS, slow, [engine('a')])?.imports).toEqual([])
    })

    it('includes the backlog of the link', () => {
      const busy = request({ links: new Map([['s', { bytesPerMs: 1000, backlogBytes: 3_000_000 }]]) })
      expect(best(LATENCY_WEIGHTS, busy, [engine('a')])?.imports).toEqual([])
      expect(best(RECOMPUTE_WEIGHTS, busy, [engine('a')])?.imports).toHaveLength(2)
    })

    it('imports only blocks that the engine does not hold', () => {
      const placement = best(LATENCY_WEIGHTS, request(), [engine('a', { residentBlocks: 20 })])
      expect(placement?.imports.map(({ name }) => name)).toEqual(['o1'])
    })

    it('overlaps the import with the wait for a busy engine', () => {
      const placement = best(LATENCY_WEIGHTS, request(), [engine('a', { queuedTokens: 300 })])
      expect(placement?.firstTokenMs).toBe(300 + 512)
    })
  })

  describe('engines', () => {
    it('prefers an idle engine to a resident prefix when the wait costs more', () => {
      const engines = [engine('resident', { residentBlocks: 8, queuedTokens: 2000 }), engine('idle')]
      expect(best(LATENCY_WEIGHTS, request({ stored: [] }), engines)?.engine.name).toBe('idle')
      expect(best(RECOMPUTE_WEIGHTS, request({ stored: [] }), engines)?.engine.name).toBe('resident')
    })

    it('includes the wait for a run to end on a full engine', () => {
      const engines = [engine('full', { running: 8 }), engine('free', { queuedTokens: 5 })]
      expect(best(LATENCY_WEIGHTS, request({ stored: [] }), engines)?.engine.name).toBe('free')
    })

    it('does not treat a wait as a near tie because the prompt is long', () => {
      const long = request({ promptTokens: 100_000, stored: [] })
      const policy = new CostPlacement({ ...LATENCY_WEIGHTS, recomputedToken: 1 }, () => 0)
      const engines = [engine('idle'), engine('busy', { queuedTokens: 40 })]
      const chosen = new Set(Array.from({ length: 20 }, () => policy.rank(long, engines)[0]?.engine.name))
      expect([...chosen]).toEqual(['idle'])
    })

    it('distributes near ties over all engines', () => {
      let state = 1
      const policy = new CostPlacement(LATENCY_WEIGHTS, () => {
        state = (state * 48_271) % 2_147_483_647
        return state / 2_147_483_647
      })
      const engines = ['a', 'b', 'c', 'd'].map(name => engine(name))
      const chosen = new Set(Array.from({ length: 40 }, () => policy.rank(request({ stored: [] }), engines)[0]?.engine.name))
      expect(chosen.size).toBe(4)
    })
  })
})

describe('decideExport', () => {
  const decide = (overrides: Partial<ExportContext>): string => decideExport({
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

  it('exports blocks that are worth the transfer', () => {
    expect(decide({})).toBe('export')
    expect(decide({ returnChance: 0.01 })).toBe('not-worth-link')
  })

  it('does not export over a busy link', () => {
    expect(decide({ linkUtilization: 0.9 })).toBe('link-busy')
  })

  it('does not export blocks that stay in the engine until the prompt returns', () => {
    expect(decide({ residenceSeconds: 2000 })).toBe('stays-resident')
    expect(decide({ residenceSeconds: undefined })).toBe('export')
  })

  it('follows a profile whose keep setting is always or never', () => {
    expect(decide({ keep: 'always', returnChance: 0 })).toBe('export')
    expect(decide({ keep: 'never' })).toBe('profile-never')
    expect(decide({ keep: 'always', missingTokens: 10 })).toBe('nothing-missing')
  })
})
