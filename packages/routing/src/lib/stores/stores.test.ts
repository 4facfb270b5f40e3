import { describe, expect, it } from 'vitest'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import type { SiteCustomer } from '@eelgrassmux/schema/site/siteSchema'
import { cacheScope, sharingGroupOf, versionOfScope } from '../prompts/cacheScope.js'
import { homeStore } from './homeStore.js'
import { StoredPartsIndex } from './StoredPartsIndex.js'

function store (name: string, cacheTokens: number, overrides: Partial<StoreService> = {}): StoreService {
  return { type: 'store', name, address: `10.0.0.${name.length}:${name}`, dataCentre: 'north', cacheTokens, linkMbps: 100_000, firstByteMs: 1, isManaged: true, ...overrides }
}

const small = store('small', 250_000)
const large = store('large', 2_000_000)
const parts = [{ id: 'common', tokens: 500 }, { id: 'trip', tokens: 8600 }]

describe('homeStore', () => {
  it('fills stores in proportion to their capacity', () => {
    const homes = Array.from({ length: 4000 }, (_, number) => homeStore(`part-${number}`, [small, large])?.name)
    const share = homes.filter(name => name === 'small').length / homes.length
    expect(share).toBeGreaterThan(0.08)
    expect(share).toBeLessThan(0.15)
  })

  it('moves only the parts of a removed store', () => {
    const third = store('third', 1_000_000)
    for (let number = 0; number < 500; number += 1) {
      const before = homeStore(`part-${number}`, [small, large, third])
      if (before !== third) expect(homeStore(`part-${number}`, [small, large])).toBe(before)
    }
  })
})

describe('StoredPartsIndex', () => {
  function index (...stores: StoreService[]): StoredPartsIndex {
    const created = new StoredPartsIndex()
    created.configure(stores)
    for (const each of stores) created.apply({ store: each.name, kind: 'whole', added: [], removed: [] })
    return created
  }

  it('plans saves until a part is stored completely, and fetches from then on', () => {
    const created = index(large)
    const first = created.plan('v1', parts)
    expect(first).toMatchObject({ fetches: [undefined, undefined], saves: [large.address, large.address], storedTokens: 0 })
    // The first request may have been cancelled before its prefill.
    expect(created.plan('v1', parts).saves).toEqual(first.saves)
    created.apply({ store: 'large', kind: 'delta', added: [['v1', 'common'], ['v1', 'trip']], removed: [] })
    expect(created.plan('v1', parts)).toMatchObject({ fetches: [large, large], saves: [undefined, undefined], storedTokens: 9100 })
  })

  it('counts only the contiguous beginning as stored', () => {
    const created = index(large)
    created.apply({ store: 'large', kind: 'delta', added: [['v1', 'trip']], removed: [] })
    expect(created.plan('v1', parts).storedTokens).toBe(0)
  })

  it('separates weight versions and isolated customers', () => {
    const created = index(large)
    created.apply({ store: 'large', kind: 'delta', added: [['v1', 'common'], ['v1', 'trip']], removed: [] })
    expect(created.plan('v2', parts).storedTokens).toBe(0)
    expect(created.plan(cacheScope(1, { isolatedCustomer: 'ward' }), parts).storedTokens).toBe(0)
  })

  it('finds a part that was saved elsewhere while its home was unavailable', () => {
    const created = index(small, large)
    const id = Array.from({ length: 200 }, (_, number) => `p${number}`).find(part => homeStore(part, [small, large]) === small) ?? ''
    created.apply({ store: 'large', kind: 'delta', added: [['v1', id]], removed: [] })
    expect(created.plan('v1', [{ id, tokens: 10 }]).fetches).toEqual([large])
  })

  it('uses no store that is lost, and none before its complete list of parts is known', () => {
    const created = index(large)
    created.apply({ store: 'large', kind: 'delta', added: [['v1', 'common']], removed: [] })
    created.apply({ store: 'large', kind: 'lost', added: [], removed: [] })
    expect(created.plan('v1', parts)).toMatchObject({ fetches: [undefined, undefined], saves: [undefined, undefined] })
    created.apply({ store: 'large', kind: 'delta', added: [['v1', 'common']], removed: [] })
    expect(created.plan('v1', parts).storedTokens).toBe(0)
  })
})

describe('cacheScope', () => {
  const SHARED = { sharingGroup: '' }
  const customer = (name: string, isIsolated: boolean): SiteCustomer => ({ name, keys: [], isIsolated })

  // Guards against parts that a customer left before it became isolated and that others go on to use.
  it('is another one for all that share once a customer becomes isolated, whatever the order of customers', () => {
    const scopeOf = (customers: readonly SiteCustomer[]): string => cacheScope(1, { sharingGroup: sharingGroupOf(customers) })
    const before = scopeOf([customer('ward', false), customer('clinic', false)])
    const after = scopeOf([customer('ward', true), customer('clinic', false)])
    expect(before).toBe('v1')
    expect(after).not.toBe(before)
    expect(scopeOf([customer('ward', true), customer('clinic', true)])).not.toBe(after)
    expect(scopeOf([customer('clinic', false), customer('ward', true)])).toBe(after)
    expect(versionOfScope(after)).toBe(1)
  })

  it('differs between versions and between isolated customers', () => {
    const scopes = [cacheScope(1, SHARED), cacheScope(2, SHARED), cacheScope(1, { isolatedCustomer: 'ward' }), cacheScope(1, { isolatedCustomer: 'clinic' })]
    expect(new Set(scopes).size).toBe(4)
  })

  it('contains the version', () => {
    expect(versionOfScope(cacheScope(12, { isolatedCustomer: 'ward' }))).toBe(12)
    expect(versionOfScope('something else')).toBeUndefined()
  })
})
