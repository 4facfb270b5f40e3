import { describe, expect, it } from 'vitest'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import { RejectedEntries, rejectEntry } from '@eelgrassmux/telemetry/RejectedEntries'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { EndpointListTask, type EndpointSource } from './EndpointListTask.js'
import type { EndpointListing } from './EndpointRegistry.js'

/** Longer than any test, so that only watchers make the task read. */
const NEVER_MS = 2 ** 30

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

const whole = (...endpoints: ListedEndpoint[]): EndpointListing => ({ endpoints, rejected: [], incompleteBecause: undefined })

/** Reads one scripted list for each turn. */
class ScriptedList implements EndpointSource {
  readonly task: EndpointListTask
  readonly telemetry = new Telemetry('test')

  constructor (private readonly readings: Array<EndpointListing | undefined>) {
    this.task = new EndpointListTask(this, NEVER_MS, () => SITE, new RejectedEntries(this.telemetry), this.telemetry)
  }

  async list (): Promise<Result<EndpointListing, { readonly kind: string }>> {
    const reading = this.readings.shift()
    return reading === undefined ? fail({ kind: 'unreachable' }) : succeed(reading)
  }

  async turn (): Promise<readonly ListedEndpoint[]> {
    this.task.addWatcher()
    await new Promise(resolve => setImmediate(resolve))
    this.task.removeWatcher()
    return this.task.endpoints
  }
}

const ids = (endpoints: readonly ListedEndpoint[]): string[] => endpoints.map(endpoint => endpoint.id)

describe('EndpointListTask', () => {
  describe('when the list could not be read to its end', () => {
    it('takes what was read, and nobody for gone', async () => {
      const list = new ScriptedList([
        whole(listed('a'), listed('b'), listed('c')),
        { ...whole(listed('a', undefined, { slots: 9 }), listed('d')), incompleteBecause: 'status' },
        whole(listed('a'))
      ])
      await list.turn()
      const endpoints = await list.turn()
      expect(ids(endpoints).sort()).toEqual(['a', 'b', 'c', 'd'])
      expect(endpoints.find(endpoint => endpoint.id === 'a')?.slots).toBe(9)
      expect(ids(await list.turn())).toEqual(['a'])
    })

    it('does not count as an answer to the question how old the list is', async () => {
      const list = new ScriptedList([{ ...whole(listed('a')), incompleteBecause: 'status' }])
      await list.turn()
      expect(list.task.readAgeMs(performance.now())).toBe(-1)
    })
  })

  it('uses no endpoint whose entry can\'t be read, keeps the others and counts the entry', async () => {
    const list = new ScriptedList([
      whole(listed('a'), listed('b')),
      { ...whole(listed('b')), rejected: [rejectEntry('State: unknown', { Id: 'a' })] },
      whole(listed('a'), listed('b'))
    ])
    await list.turn()
    expect(ids(await list.turn())).toEqual(['b'])
    expect(await list.telemetry.registry.metrics()).toContain('rejected_entries_total{source="endpoint-list",program="test"} 1')
    expect(ids(await list.turn())).toEqual(['a', 'b'])
  })

  it('has no use for endpoints of a service that the site does not have, or of a store, and counts them', async () => {
    const list = new ScriptedList([whole(listed('a'), listed('b', undefined, { service: 'other' }), listed('c', undefined, { service: 'keep' }))])
    await list.turn()
    expect(ids(list.task.endpointsOfSite)).toEqual(['a'])
    expect(await list.telemetry.registry.metrics()).toContain('rejected_entries_total{source="endpoint-list",program="test"} 2')
  })

  describe('when an endpoint has started again under its id', () => {
    it('keeps the later start when an older list arrives late', async () => {
      const list = new ScriptedList([whole(listed('a', 2000)), whole(listed('a', 1000, { isLeaving: true, models: [] }))])
      const before = await list.turn()
      expect(await list.turn()).toEqual(before)
    })

    it('does not bring the former start back after the endpoint was off the list', async () => {
      const list = new ScriptedList([whole(listed('a', 2000)), whole(), whole(listed('a', 1000, { isLeaving: true }))])
      await list.turn()
      await list.turn()
      expect(await list.turn()).toMatchObject([{ startedAtMs: 2000, isLeaving: false }])
    })

    it('drops what was known beyond the list of the former start', async () => {
      const list = new ScriptedList([whole(listed('a', 1000)), whole(listed('a', 2000))])
      await list.turn()
      list.task.setOverlays(new Map([['a', { startedAtMs: 1000, models: [{ model: 'm', version: 7 }], isBusy: true }]]))
      expect(list.task.endpoints).toMatchObject([{ isBusy: true, models: [{ version: 7 }] }])
      expect(await list.turn()).toMatchObject([{ startedAtMs: 2000, isBusy: false, models: [{ version: 1 }] }])
    })

    it('believes a start that the endpoint stated itself before the list does', async () => {
      const list = new ScriptedList([whole(listed('a', 1000, { isLeaving: true })), whole(listed('a', 1000, { isLeaving: true })), whole(listed('a', 2000, { slots: 9 }))])
      await list.turn()
      list.task.observeStart('a', { startedAtMs: 2000, models: [{ model: 'm', version: 4 }], isBusy: false })
      expect(list.task.endpoints).toMatchObject([{ startedAtMs: 2000, isLeaving: false, models: [{ model: 'm', version: 4 }] }])
      expect(await list.turn()).toMatchObject([{ startedAtMs: 2000, isLeaving: false, models: [{ model: 'm', version: 4 }] }])
      list.task.setOverlays(new Map())
      expect(list.task.endpoints).toMatchObject([{ models: [{ model: 'm', version: 0 }] }])
      expect(await list.turn()).toMatchObject([{ startedAtMs: 2000, slots: 9 }])
    })
  })

  it('goes on with the last list when there is no answer', async () => {
    const list = new ScriptedList([whole(listed('a'), listed('b')), undefined])
    await list.turn()
    expect(ids(await list.turn())).toEqual(['a', 'b'])
  })
})
