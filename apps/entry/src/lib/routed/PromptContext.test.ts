import { describe, expect, it } from 'vitest'
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import { EMPTY_PREFILL_PLAN } from '@eelgrassmux/routing/endpoints/prefillPlan'
import type { ReplicatedService, Route, StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { PromptContext } from './PromptContext.js'
import { RoutedFleet } from './RoutedFleet.js'
import type { RoutedRequest } from './RoutedRequest.js'

const store: StoreService = { type: 'store', name: 'keep', address: '10.0.0.9:1', dataCentre: 'north', cacheTokens: 1e6, linkMbps: 400_000, firstByteMs: 1, isManaged: true }
const service: ReplicatedService = {
  type: 'replicated', name: 'pool', connectionsPerEndpoint: 0, healthPath: '/health', engine: { slots: 8, cacheTokens: 50_000, bytesPerToken: 300_000, linkMbps: 700_000, models: ['m'] }
}
const route = { name: 'digest', kind: 'stream', targetLatencyMs: 600, timeoutMs: 6000 } as Route

function context (parts: ReadonlyArray<{ readonly id: string, readonly tokens: number }>, stored: readonly string[]): PromptContext {
  const fleet = new RoutedFleet('north', () => 1, new Telemetry('test'))
  fleet.storedParts.configure([store])
  fleet.storedParts.apply({ store: 'keep', kind: 'whole', added: stored.map(id => ['v1', id] as const), removed: [] })
  const request = {
    id: 'r', arrivedAt: 0, route, service, customer: undefined, fields: { prompt: { model: 'm', promptTokens: 9000, outputTokens: 20, parts } }
  } as unknown as RoutedRequest
  const prompt = PromptContext.of(request, { fleet, desiredVersion: () => 1, leftMsOn: () => Number.POSITIVE_INFINITY, storesUsable: () => true, storeClockMs: now => now })
  if (prompt === undefined) throw new Error('no prompt')
  return prompt
}

function choice (partsFromStores: number): EndpointChoice {
  const endpoint = new EndpointState({ id: 'e', service: 'pool', address: '10.0.0.1:1', dataCentre: 'north', slots: 8, isLeaving: false, isBusy: false, models: [] })
  return {
    endpoint, version: 1, prefill: { ...EMPTY_PREFILL_PLAN, partsFromStores }, tokensHeld: 0, estimatedMs: 0, costMs: 0, waitMs: 0, memoryWaitMs: 0, workMs: 0, memoryShare: 0, load: { tokensToRead: 0, tokensAhead: 0, requests: 0 }
  }
}

describe('PromptContext', () => {
  describe('transfers', () => {
    const parts = [{ id: 'rules', tokens: 2500 }, { id: 'inventory', tokens: 5000 }, { id: 'own', tokens: 1500 }]

    it('have one entry for each part: an address that stands alone would be asked for the whole prompt, also for parts that it holds in part', () => {
      const { fetches, saves } = context(parts, ['rules', 'inventory']).transfers(choice(1), 1, 6000) ?? {}
      expect(fetches).toEqual([store.address, undefined, undefined])
      expect(saves).toEqual([undefined, undefined, undefined])
    })

    it('have one for the request\'s own part as well, where it has but one shared part', () => {
      const { fetches } = context(parts.slice(1), ['inventory']).transfers(choice(1), 1, 6000) ?? {}
      expect(fetches).toEqual([store.address, undefined])
    })

    it('save what no store holds, and fetch nothing that is to be read', () => {
      const { fetches, saves } = context(parts, ['rules']).transfers(choice(0), 1, 6000) ?? {}
      expect(fetches).toEqual([undefined, undefined, undefined])
      expect(saves).toEqual([undefined, store.address, undefined])
    })
  })
})
