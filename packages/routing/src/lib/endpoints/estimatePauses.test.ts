import { describe, expect, it } from 'vitest'
import { PeerLoad } from '../load/PeerLoad.js'
import { estimatePauses, type PauseEffect, type PauseQuery } from './estimatePauses.js'
import { EndpointState } from './EndpointState.js'
import { EngineModel } from './EngineModel.js'
import { StreamPaceModel } from './StreamPaceModel.js'

const LIMIT_MS = 300
const LONG_PROMPT = { tokensAhead: 24_000, tokensToRead: 12_000, requests: 6 }

function knownModel (): StreamPaceModel {
  const model = new StreamPaceModel()
  for (let event = 0; event < 50; event += 1) model.observe({ prefillMs: 0, requests: 6 }, 40)
  return model
}

function peersWith (streams: number): PeerLoad {
  const others = new PeerLoad()
  others.recordOwnReport(1, { work: [], links: [] }, 0)
  others.recordTotals({ sequence: 1, work: [], links: [], streams: [{ endpoint: 'e', streams, shortestPauseMs: LIMIT_MS }] }, 0)
  return others
}

function effect (streams: number, overrides: Partial<PauseQuery> = {}): PauseEffect {
  const endpoint = new EndpointState({ id: 'e', service: 'pool', address: '10.1.0.1:80', dataCentre: 'north', slots: 8, isLeaving: false, isBusy: false, models: [] })
  return estimatePauses({ endpoint, others: peersWith(streams), model: knownModel(), engine: new EngineModel(), load: LONG_PROMPT, pace: undefined, longestPauseMs: 0, outputTokens: 0, ...overrides }, 0)
}

describe('estimatePauses', () => {
  it('charges a long prompt for each running stream whose pause exceeds its limit', () => {
    expect(effect(0)).toEqual({ costMs: 0, delayedStreams: 0 })
    expect(effect(2).costMs).toBeGreaterThan(100)
    expect(effect(4).costMs).toBeCloseTo(2 * effect(2).costMs)
    expect(effect(2).delayedStreams).toBeCloseTo(2)
  })

  it('charges nothing for what fits into the limit, and little for a short prompt', () => {
    expect(effect(2, { load: { tokensAhead: 0, tokensToRead: 3000, requests: 6 } }).costMs).toBe(0)
    expect(effect(2, { load: { ...LONG_PROMPT, tokensToRead: 100 } }).costMs).toBeLessThan(effect(2).costMs / 10)
  })

  it('charges more at an engine whose machine is slow', () => {
    const load = { tokensAhead: 3000, tokensToRead: 6000, requests: 6 }
    expect(effect(2, { load }).costMs).toBe(0)
    expect(effect(2, { load, pace: { factor: 2.5, statedAt: 0 } }).costMs).toBeGreaterThan(50)
  })

  it('charges a stream of several events for its own pauses', () => {
    expect(effect(0, { longestPauseMs: LIMIT_MS, outputTokens: 30 }).costMs).toBeGreaterThan(0)
    expect(effect(0, { longestPauseMs: LIMIT_MS, outputTokens: 2 }).costMs).toBe(0)
    expect(effect(0, { longestPauseMs: 0, outputTokens: 30 }).costMs).toBe(0)
  })
})
