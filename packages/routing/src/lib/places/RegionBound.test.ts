import { describe, expect, it } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { chooseEndpoint } from '../endpoints/chooseEndpoint.js'
import { EndpointState } from '../endpoints/EndpointState.js'
import { cacheScope } from '../prompts/cacheScope.js'
import { PromptResidencyTracker } from '../prompts/PromptResidencyTracker.js'
import { StoredPartsIndex } from '../stores/StoredPartsIndex.js'
import { regionBoundOf } from './RegionBound.js'

const REGIONS = new Map([['hall-a', 'coast'], ['hall-b', 'coast'], ['hall-c', 'plain'], ['hall-d', 'hills']])

describe('regionBoundOf', () => {
  it('sets no restriction if neither the route nor the customer names a region', () => {
    expect(regionBoundOf({}, undefined, REGIONS)).toBeUndefined()
    expect(regionBoundOf({ allowedRegions: [] }, { allowedRegions: [] }, REGIONS)).toBeUndefined()
  })

  it('allows the data centres of the regions, and none whose region is unknown', () => {
    const bound = regionBoundOf({ allowedRegions: ['coast'] }, undefined, REGIONS)
    expect(['hall-a', 'hall-b', 'hall-c', 'unknown'].map(name => bound?.allows(name))).toEqual([true, true, false, false])
  })

  it('applies the regions of both the route and the customer', () => {
    const bound = regionBoundOf({ allowedRegions: ['coast', 'plain'] }, { allowedRegions: ['plain', 'hills'] }, REGIONS)
    expect(['hall-a', 'hall-c', 'hall-d'].map(name => bound?.allows(name))).toEqual([false, true, false])
    const nowhere = regionBoundOf({ allowedRegions: ['coast'] }, { allowedRegions: ['plain'] }, REGIONS)
    expect([...REGIONS.keys()].some(name => nowhere?.allows(name))).toBe(false)
  })
})

describe('a request that is restricted to regions', () => {
  const listed = (id: string, dataCentre: string): ListedEndpoint => ({ id, service: 'pool', address: '10.0.0.1:1', dataCentre, slots: 8, isLeaving: false, isBusy: false, models: [] })
  const store = (name: string, dataCentre: string): StoreService =>
    ({ type: 'store', name, address: name, dataCentre, cacheTokens: 1000, linkMbps: 1000, firstByteMs: 1, isManaged: true })
  const bound = regionBoundOf({ allowedRegions: ['plain'] }, undefined, REGIONS)
  const query = { excluded: new Set<string>(), dataCentre: 'hall-a', others: undefined, regionBound: bound }

  it('goes to an endpoint in its regions, however far and busy that is', () => {
    const far = new EndpointState(listed('far', 'hall-c'))
    for (let sent = 0; sent < 30; sent += 1) far.beginRequest(0, 0, 0)
    expect(chooseEndpoint([new EndpointState(listed('near', 'hall-a')), far], query, new PromptResidencyTracker(), 0, 0)).toMatchObject({ endpoint: far })
  })

  it('gets no endpoint if its regions have none, and the reason says so', () => {
    expect(chooseEndpoint([new EndpointState(listed('near', 'hall-a'))], query, new PromptResidencyTracker(), 0, 0)).toBe('none-in-regions')
  })

  it('is stored only in its regions, and under a different scope than other prompts', () => {
    const index = new StoredPartsIndex()
    index.configure([store('a', 'hall-a'), store('c', 'hall-c')])
    for (const name of ['a', 'c']) index.apply({ store: name, kind: 'whole', added: [['v1', 'p']], removed: [] })
    const parts = Array.from({ length: 20 }, (_, number) => ({ id: `part-${number}`, tokens: 10 }))
    const allows = (dataCentre: string): boolean => bound?.allows(dataCentre) === true
    expect(new Set(index.plan(cacheScope(1, { sharingGroup: '' }, bound), parts, allows).saves)).toEqual(new Set(['c']))
    expect(index.plan(cacheScope(1, { sharingGroup: '' }, bound), [{ id: 'p', tokens: 10 }], allows).fetches).toEqual([undefined])
    expect(cacheScope(1, { sharingGroup: '' }, bound)).not.toBe(cacheScope(1, { sharingGroup: '' }))
    expect(cacheScope(1, { isolatedCustomer: 'ward' }, bound)).not.toBe(cacheScope(1, { isolatedCustomer: 'ward' }))
  })
})
