import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { EngineBackend } from '@eelgrassmux/backends/EngineClient'
import type { EngineReport } from '@eelgrassmux/backends/engineProtocol'
import type { ConfigurationDocument } from '@eelgrassmux/schema/configuration'
import { succeed } from '@eelgrassmux/schema/Result'
import type { RaftTask } from '../raft/RaftTask.js'
import { OrderTask } from './OrderTask.js'

const LEASE_MS = 240

/** Lease and bound of a predecessor's last order, in milliseconds. */
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
      order: async () => {
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

  it('waits out the last order of the leader before it', async () => {
    await advance(WAIT_MS)
    expect(orders).toBe(0)
    await advance(1000)
    expect(orders).toBeGreaterThan(0)
  })

  it('waits again if another host led between two looks', async () => {
    await advance(900)
    core.term = 4
    await advance(WAIT_MS)
    expect(orders).toBe(0)
    await advance(1000)
    expect(orders).toBeGreaterThan(0)
  })

  it('gives no order if another host led while the engines were asked', async () => {
    // Looks come every 300 ms, the first at 300; the one at 1800 is the first after the wait.
    await advance(1700)
    expect(orders).toBe(0)
    whileReporting = () => { core.term = 4 }
    await advance(200)
    expect(orders).toBe(0)
  })
})
