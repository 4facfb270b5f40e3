import { describe, expect, it } from 'vitest'
import { succeed } from '@eelgrassmux/schema/Result'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import { RejectedEntries } from '@eelgrassmux/telemetry/RejectedEntries'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { RaftTask } from '../raft/RaftTask.js'
import type { StoreSource } from './StoreFollower.js'
import { StoreTask } from './StoreTask.js'

const STORE: StoreService = { type: 'store', name: 's', address: '10.0.0.1:1', dataCentre: 'n', cacheTokens: 1, linkMbps: 1, firstByteMs: 0, isManaged: true }

describe('StoreTask', () => {
  it('follows stores as soon as the site is known, without waiting for the next check', async () => {
    const services: StoreService[] = []
    const raft = { state: { sites: { put: { site: { services } } } }, core: { role: 'follower' } } as unknown as RaftTask
    let listings = 0
    const source: StoreSource = {
      events: async () => await new Promise(() => {}),
      listing: async () => {
        listings += 1
        return succeed({ startedAtMs: undefined, epoch: 1, next: 0, parts: [['v1', 'p']], partial: [], rejected: [] })
      },
      free: async () => succeed(true)
    }
    const telemetry = new Telemetry('test')
    const task = new StoreTask(raft, source, () => [], new RejectedEntries(telemetry), telemetry)
    const watcher = task.addWatcher(() => {})
    services.push(STORE)
    expect(listings).toBe(0)
    task.siteChanged()
    expect(listings).toBe(1)
    await new Promise(resolve => setImmediate(resolve))
    expect(task.takePending(watcher).changes).toEqual([{ store: 's', kind: 'whole', added: [['v1', 'p']], removed: [] }])
    task.removeWatcher(watcher)
    task.siteChanged()
    expect(listings).toBe(1)
  })
})
