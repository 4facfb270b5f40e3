import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { EngineBackend } from '@eelgrassmux/backends/EngineClient'
import type { EngineReport } from '@eelgrassmux/backends/engineProtocol'
import type { ConfigurationDocument } from '@eelgrassmux/schema/configuration'
import { succeed } from '@eelgrassmux/schema/Result'
import type { RaftTask } from '../raft/RaftTask.js'
import { OrderTask } from './OrderTask.js'

const LEASE_MS = 240

/** Lease of a predecessor and timeout of its last order, in milliseconds. */
const WAIT_MS = LEASE_MS + 1000

const DOCUMENTS: ConfigurationDocument[] = [
  { kind: 'model', name: 'base', version: 'new', servingFloor: 0 },
  { kind: 'endpoint', type: 'engine', name: 'engine', model: 'base', address: 'engine', dataCentre: 'n', service: 'summaries' } as unknown as ConfigurationDocument
]

describe('OrderTask', () => {
  const core = { role: 'leader', term: 2, commitIndex: 1, settings: { leaseMs: LEASE_MS }, holdsLease: () => true }
  let orders: number
  let whileReporting: () => void
  let task: OrderTask

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'performance'] })
    core.role = 'leader'
    core.term = 2
    orders = 0
    whileReporting = () => {}
    const engine = {
      report: async () => {
        whileReporting()
        return succeed({ version: 'old' } as unknown as EngineReport)
      },
      sendOrder: async () => {
        orders += 1
        return succeed({ ok: true })
      },
      close: async () => {}
    } as unknown as EngineBackend & { close (): Promise<void> }
    task = new OrderTask({ core, state: { revision: 1, configuration: { documents: DOCUMENTS } } } as unknown as RaftTask, () => engine, () => {})
    task.start()
  })

  afterEach(async () => {
    await task.stop()
    vi.useRealTimers()
  })

  const advance = async (milliseconds: number): Promise<void> => { await vi.advanceTimersByTimeAsync(milliseconds) }

  it('waits until the last order of the previous leader has timed out', async () => {
    await advance(WAIT_MS)
    expect(orders).toBe(0)
    await advance(1000)
    expect(orders).toBeGreaterThan(0)
  })

  it('waits again if another host was the leader between two polls', async () => {
    await advance(900)
    core.term = 4
    await advance(WAIT_MS)
    expect(orders).toBe(0)
    await advance(1000)
    expect(orders).toBeGreaterThan(0)
  })

  it('sends no order if another host became the leader while the engines were polled', async () => {
    // Polls run every 300 ms from 300 ms on. The poll at 1800 ms is the first one after the wait.
    await advance(1700)
    expect(orders).toBe(0)
    whileReporting = () => { core.term = 4 }
    await advance(200)
    expect(orders).toBe(0)
  })
})
