import { describe, expect, it } from 'vitest'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { ADMISSION_LIMITS } from '../admission/admitStream.js'
import { NO_ENDPOINT_LOAD } from '../load/loadReport.js'
import { composeMechanisms, mechanismSchema, type Mechanism } from './mechanisms.js'

const store: StoreService = { type: 'store', name: 's', address: '10.0.0.1:1', dataCentre: 'north', cacheTokens: 1e6, linkMbps: 100_000, firstByteMs: 1, isManaged: true }

const without = (...leftOut: Mechanism[]): ReturnType<typeof composeMechanisms> => composeMechanisms(new Set(leftOut))

describe('composeMechanisms', () => {
  it('leaves nothing out unless it is named', () => {
    const { homeEndpoint, engineRank, admission, usesStores, waitsForSite } = composeMechanisms()
    expect(homeEndpoint('part', ['a'])).toBe('a')
    expect(engineRank(1, 2, false)).toBe(5)
    expect(admission).toEqual(ADMISSION_LIMITS)
    expect([usesStores, waitsForSite]).toEqual([true, true])
  })

  it('names every mechanism once, and takes no other name', () => {
    expect(new Set(mechanismSchema.options).size).toBe(mechanismSchema.options.length)
    expect(() => mechanismSchema.parse('luck')).toThrow()
  })

  describe('replaces what is left out by what does nothing', () => {
    it('homes and ranks', () => {
      const { homeEndpoint, engineRank } = without('homes', 'ranks')
      expect(homeEndpoint('part', ['a'])).toBeUndefined()
      expect([engineRank(1, 2, false), engineRank(0, 0, true)]).toEqual([0, 0])
    })

    it('limits of admission, each by itself', () => {
      expect(without('memory-limit').admission).toEqual({ ...ADMISSION_LIMITS, memoryShare: Infinity })
      expect(without('read-ahead').admission).toEqual({ ...ADMISSION_LIMITS, tokensAhead: Infinity })
      expect(without('late-deferral').admission).toEqual({ ...ADMISSION_LIMITS, lateTokensAhead: Infinity, lateMemoryShare: Infinity })
    })

    it('stores and the wait for the site', () => {
      expect(without('store-fetches').usesStores).toBe(false)
      expect(without('startup-queue').waitsForSite).toBe(false)
    })

    it('what is learnt', () => {
      const mechanisms = without('engine-times', 'slowness', 'link-speeds')
      const engine = mechanisms.createEngineModel()
      const slowness = mechanisms.createSlownessEstimator()
      const links = mechanisms.createStoreLinks(() => 1)
      const assumed = engine.tokensPerMs
      for (let request = 0; request < 100; request += 1) {
        engine.observe({ tokensToRead: 9000, tokensAhead: 0, requests: 1 }, 2000)
        slowness.observe(2000, 100, 0)
        links.observe(store, 'north', { fetchMs: 20, otherMs: 50, doublings: 0 }, 2000, 0)
      }
      links.observePeers(new Map(), 0)
      expect(engine.tokensPerMs).toBe(assumed)
      expect(slowness.factor(0)).toBe(1)
      expect(links.doublings(store, 'north', 0)).toBe(0)
    })

    it('the others\' work and what they have seen, each by itself', () => {
      const figures = { ...NO_ENDPOINT_LOAD, inFlight: 3, pendingTokens: 500, heldTokens: 900, avoiders: 2, outcomes: 9, failures: 8 }
      const at = (...leftOut: Mechanism[]): unknown => {
        const { peerLoad: others } = without(...leftOut)
        others.recordOwnReport(1, { work: [], links: [] })
        others.recordTotals({ sequence: 1, work: [{ endpoint: 'e', ...figures }], links: [] }, 0)
        return others.forEndpoint('e')
      }
      expect(at()).toEqual(figures)
      expect(at('others-work')).toEqual({ ...figures, inFlight: 0, pendingTokens: 0, heldTokens: 0 })
      expect(at('shared-observations')).toEqual({ ...NO_ENDPOINT_LOAD, inFlight: 3, pendingTokens: 500, heldTokens: 900 })
    })
  })
})
