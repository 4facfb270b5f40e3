import { describe, expect, it } from 'vitest'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import { RejectedEntries, rejectEntry } from '@eelgrassmux/telemetry/RejectedEntries'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { EndpointListTask, type EndpointSource } from './EndpointListTask.js'
import type { EndpointListing } from './EndpointRegistry.js'

/** Interval longer than any test, so that the task reads the list only when a watcher is added. */
const DISABLED_INTERVAL_MS = 2 ** 30

const listed = (id: string, startedAtMs?: number, changes: Partial<ListedEndpoint> = {}): ListedEndpoint => ({
  id, service: 'pool', address: `${id}:1`, dataCentre: 'n', slots: 4, isLeaving: false, isBusy: false, models: [{ model: 'm', version: 1 }], startedAtMs, ...changes
})

const SITE: Site = {
  version: 1,
  routes: [],
  services: [
    { type: 'replicated', name: 'pool', connectionsPerEndpoint: 0, healthPath: '/health' },
    { type: 'store', name: 'keep', address: '10.0.0.9:1', dataCentre: 'n', cacheTokens: 1, linkMbps: 1, firstByteMs: 0, isManaged: true }
  ],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
}

const completeListing = (...endpoints: ListedEndpoint[]): EndpointListing => ({ endpoints, rejected: [], incompleteBecause: undefined })

/** Endpoint source that returns one scripted listing for each read. */
class ScriptedList implements EndpointSource {
  readonly task: EndpointListTask
  readonly telemetry = new Telemetry('test')

  constructor (private readonly listings: Array<EndpointListing | undefined>) {
    this.task = new EndpointListTask(this, DISABLED_INTERVAL_MS, () => SITE, new RejectedEntries(this.telemetry), this.telemetry)
  }

  async list (): Promise<Result<EndpointListing, { readonly kind: string }>> {
    const listing = this.listings.shift()
    return listing === undefined ? fail({ kind: 'unreachable' }) : succeed(listing)
  }

  async readOnce (): Promise<readonly ListedEndpoint[]> {
    this.task.addWatcher()
    await new Promise(resolve => setImmediate(resolve))
    this.task.removeWatcher()
    return this.task.endpoints
  }
}

const ids = (endpoints: readonly ListedEndpoint[]): string[] => endpoints.map(endpoint => endpoint.id)

describe('EndpointListTask', () => {
  describe('when the list could not be read completely', () => {
    it('applies the entries that were read and keeps all others', async () => {
      const list = new ScriptedList([
        completeListing(listed('a'), listed('b'), listed('c')),
        { ...completeListing(listed('a', undefined, { slots: 9 }), listed('d')), incompleteBecause: 'status' },
        completeListing(listed('a'))
      ])
      await list.readOnce()
      const endpoints = await list.readOnce()
      expect(ids(endpoints).sort()).toEqual(['a', 'b', 'c', 'd'])
      expect(endpoints.find(endpoint => endpoint.id === 'a')?.slots).toBe(9)
      expect(ids(await list.readOnce())).toEqual(['a'])
    })

    it('does not reset the age of the list', async () => {
      const list = new ScriptedList([{ ...completeListing(listed('a')), incompleteBecause: 'status' }])
      await list.readOnce()
      expect(list.task.readAgeMs(performance.now())).toBe(-1)
    })
  })

  it('does not use an endpoint with an invalid entry, keeps the others and counts the entry', async () => {
    const list = new ScriptedList([
      completeListing(listed('a'), listed('b')),
      { ...completeListing(listed('b')), rejected: [rejectEntry('State: unknown', { Id: 'a' })] },
      completeListing(listed('a'), listed('b'))
    ])
    await list.readOnce()
    expect(ids(await list.readOnce())).toEqual(['b'])
    expect(await list.telemetry.registry.metrics()).toContain('rejected_entries_total{source="endpoint-list",program="test"} 1')
    expect(ids(await list.readOnce())).toEqual(['a', 'b'])
  })

  // Guards against an exception for one entry of the list, which ended the control host.
  it('keeps what it knows if a listing can\'t be used', async () => {
    const unusable = { ...listed('b'), get id (): string { throw new Error('unusable') } }
    const list = new ScriptedList([completeListing(listed('a')), completeListing(listed('a'), unusable), completeListing(listed('a'), listed('c'))])
    await list.readOnce()
    expect(ids(await list.readOnce())).toEqual(['a'])
    expect(await list.telemetry.registry.metrics()).toContain('input_faults_total{source="endpoint-list",program="test"} 1')
    expect(ids(await list.readOnce())).toEqual(['a', 'c'])
  })

  it('excludes endpoints of a store or of a service that is missing from the site, and counts them', async () => {
    const list = new ScriptedList([completeListing(listed('a'), listed('b', undefined, { service: 'other' }), listed('c', undefined, { service: 'keep' }))])
    await list.readOnce()
    expect(ids(list.task.endpointsOfSite)).toEqual(['a'])
    expect(await list.telemetry.registry.metrics()).toContain('rejected_entries_total{source="endpoint-list",program="test"} 2')
  })

  describe('when an endpoint has restarted under its id', () => {
    it('keeps the later start when an outdated list arrives late', async () => {
      const list = new ScriptedList([completeListing(listed('a', 2000)), completeListing(listed('a', 1000, { isLeaving: true, models: [] }))])
      const before = await list.readOnce()
      expect(await list.readOnce()).toEqual(before)
    })

    it('does not return to the earlier start after the endpoint was missing from the list', async () => {
      const list = new ScriptedList([completeListing(listed('a', 2000)), completeListing(), completeListing(listed('a', 1000, { isLeaving: true }))])
      await list.readOnce()
      await list.readOnce()
      expect(await list.readOnce()).toMatchObject([{ startedAtMs: 2000, isLeaving: false }])
    })

    it('drops the overlay of the earlier start', async () => {
      const list = new ScriptedList([completeListing(listed('a', 1000)), completeListing(listed('a', 2000))])
      await list.readOnce()
      list.task.setOverlays(new Map([['a', { startedAtMs: 1000, models: [{ model: 'm', version: 7 }], isBusy: true }]]))
      expect(list.task.endpoints).toMatchObject([{ isBusy: true, models: [{ version: 7 }] }])
      expect(await list.readOnce()).toMatchObject([{ startedAtMs: 2000, isBusy: false, models: [{ version: 1 }] }])
    })

    it('uses a start time that the endpoint reports before the list shows it', async () => {
      const list = new ScriptedList([completeListing(listed('a', 1000, { isLeaving: true })), completeListing(listed('a', 1000, { isLeaving: true })), completeListing(listed('a', 2000, { slots: 9 }))])
      await list.readOnce()
      list.task.observeStart('a', { startedAtMs: 2000, models: [{ model: 'm', version: 4 }], isBusy: false })
      expect(list.task.endpoints).toMatchObject([{ startedAtMs: 2000, isLeaving: false, models: [{ model: 'm', version: 4 }] }])
      expect(await list.readOnce()).toMatchObject([{ startedAtMs: 2000, isLeaving: false, models: [{ model: 'm', version: 4 }] }])
      list.task.setOverlays(new Map())
      expect(list.task.endpoints).toMatchObject([{ models: [{ model: 'm', version: 0 }] }])
      expect(await list.readOnce()).toMatchObject([{ startedAtMs: 2000, slots: 9 }])
    })
  })

  it('keeps the last list when the platform does not answer', async () => {
    const list = new ScriptedList([completeListing(listed('a'), listed('b')), undefined])
    await list.readOnce()
    expect(ids(await list.readOnce())).toEqual(['a', 'b'])
  })

  describe('when all watchers have left', () => {
    // Guards against streams refused after all entry hosts had restarted: no control host could say what was listed before.
    it('has followed the list without a break once they are back', async () => {
      const list = new ScriptedList([completeListing(listed('a')), completeListing(listed('a'))])
      await list.readOnce()
      const leftAt = performance.now()
      await list.readOnce()
      expect(list.task.followedMs(leftAt + 1000)).toBeGreaterThanOrEqual(1000)
      list.task.stop()
      expect(list.task.followedMs(leftAt + 1000)).toBe(0)
    })
  })
})
