import { describe, expect, it } from 'vitest'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { ADMISSION_LIMITS } from '../admission/admitStream.js'
import { NO_ENDPOINT_LOAD } from '../load/loadReport.js'
import { composeMechanisms, mechanismSchema, type Mechanism } from './mechanisms.js'

const store: StoreService = { type: 'store', name: 's', address: '10.0.0.1:1', dataCentre: 'north', cacheTokens: 1e6, linkMbps: 100_000, firstByteMs: 1, isManaged: true }

const without = (...disabled: Mechanism[]): ReturnType<typeof composeMechanisms> => composeMechanisms(new Set(disabled))

describe('composeMechanisms', () => {
  it('enables all mechanisms by default', () => {
    const { homeEndpoint, engineRank, admission, usesStores, waitsForSite } = composeMechanisms()
    expect(homeEndpoint('part', ['a'])).toBe('a')
    expect(engineRank(1, 2, false)).toBe(5)
    expect(admission).toEqual(ADMISSION_LIMITS)
    expect([usesStores, waitsForSite]).toEqual([true, true])
  })

  it('names every mechanism once, and rejects unknown names', () => {
    expect(new Set(mechanismSchema.options).size).toBe(mechanismSchema.options.length)
    expect(() => mechanismSchema.parse('luck')).toThrow()
  })

  describe('replaces disabled mechanisms with implementations that do nothing', () => {
    it('homes and ranks', () => {
      const { homeEndpoint, engineRank } = without('homes', 'ranks')
      expect(homeEndpoint('part', ['a'])).toBeUndefined()
      expect([engineRank(1, 2, false), engineRank(0, 0, true)]).toEqual([0, 0])
    })

    it('admission limits, each separately', () => {
      expect(without('memory-limit').admission).toEqual({ ...ADMISSION_LIMITS, memoryShare: Infinity })
      expect(without('read-ahead').admission).toEqual({ ...ADMISSION_LIMITS, tokensAhead: Infinity })
      expect(without('late-deferral').admission).toEqual({ ...ADMISSION_LIMITS, lateTokensAhead: Infinity, lateMemoryShare: Infinity })
    })

    it('stores and the queue for the site', () => {
      expect(without('store-fetches').usesStores).toBe(false)
      expect(without('startup-queue').waitsForSite).toBe(false)
    })

    it('learned estimates', () => {
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

    it('the load of other hosts and their observations, each separately', () => {
      const figures = { ...NO_ENDPOINT_LOAD, inFlight: 3, pendingTokens: 500, heldTokens: 900, avoiders: 2, outcomes: 9, failures: 8 }
      const at = (...disabled: Mechanism[]): unknown => {
        const { peerLoad } = without(...disabled)
        peerLoad.recordOwnReport(1, { work: [], links: [] }, 0)
        peerLoad.recordTotals({ sequence: 1, work: [{ endpoint: 'e', ...figures }], links: [] }, 0)
        return peerLoad.forEndpoint('e')
      }
      expect(at()).toEqual(figures)
      expect(at('others-work')).toEqual({ ...figures, inFlight: 0, pendingTokens: 0, heldTokens: 0 })
      expect(at('shared-observations')).toEqual({ ...NO_ENDPOINT_LOAD, inFlight: 3, pendingTokens: 500, heldTokens: 900 })
    })
  })
})
