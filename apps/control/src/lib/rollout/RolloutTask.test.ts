import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { succeed } from '@eelgrassmux/schema/Result'
import type { Command, OrderHolder } from '@eelgrassmux/state/commands'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { EndpointListTask } from '../endpoints/EndpointListTask.js'
import type { RaftTask } from '../raft/RaftTask.js'
import type { LoadOrder, OrderOutcome } from './RolloutPlan.js'
import { RolloutTask } from './RolloutTask.js'

const ORDER_LEASE_MS = 3000
const MODEL = 'summary'
const ENGINE: ListedEndpoint = {
  id: 'engine', service: 'pool', address: 'engine', dataCentre: 'n', slots: 1, isLeaving: false, isBusy: false, models: [{ model: MODEL, version: 1 }]
}
const PREDECESSOR: OrderHolder = { replicaId: 'other', term: 1 }

/** What the task sees of its replica; the test decides on role and term. */
class LeadingReplica {
  readonly core = { self: { id: 'self', address: '' }, role: 'leader', term: 2 }
  readonly state = { sites: { weights: [{ model: MODEL, version: 2 }], orderHolder: undefined as OrderHolder | undefined } }
  /** Runs while a quorum is asked, before it answers. */
  whileConfirming = (): void => {}

  async propose (command: Command): Promise<{ kind: 'applied' }> {
    if (command.kind === 'claim-orders') this.state.sites.orderHolder = command.holder
    return { kind: 'applied' }
  }

  async confirmRead (): Promise<boolean> {
    this.whileConfirming()
    return true
  }
}

describe('RolloutTask', () => {
  let replica: LeadingReplica
  let orders: number[]
  let task: RolloutTask

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'performance'] })
    replica = new LeadingReplica()
    orders = []
    const list = { endpoints: [ENGINE], endpointsOfSite: [ENGINE], observeStart: () => {}, addWatcher: () => {}, removeWatcher: () => {}, setOverlays: () => {} } as unknown as EndpointListTask
    task = new RolloutTask(replica as unknown as RaftTask, list, {
      status: async () => succeed({ startedAtMs: undefined, versions: new Map([[MODEL, 1]]), isBusy: false, acceptedOrders: 0 }),
      load: async (_order: LoadOrder): Promise<OrderOutcome> => {
        orders.push(performance.now())
        return 'accepted'
      }
    }, 'self', ORDER_LEASE_MS, new Telemetry('rollout-test'))
    task.start()
  })

  afterEach(() => {
    task.stop()
    vi.useRealTimers()
  })

  const advance = async (milliseconds: number): Promise<void> => { await vi.advanceTimersByTimeAsync(milliseconds) }

  it('orders at once where nobody has given orders before', async () => {
    await advance(500)
    expect(orders).not.toEqual([])
  })

  it('waits out the last order of the host before it', async () => {
    replica.state.sites.orderHolder = PREDECESSOR
    await advance(ORDER_LEASE_MS)
    expect(orders).toEqual([])
    await advance(1000)
    expect(orders).not.toEqual([])
  })

  it('waits also for a host whose claim it has not applied yet when it is elected', async () => {
    replica.whileConfirming = () => { replica.state.sites.orderHolder ??= PREDECESSOR }
    await advance(ORDER_LEASE_MS)
    expect(orders).toEqual([])
    await advance(1000)
    expect(orders).not.toEqual([])
  })

  it('goes on waiting when it is elected anew in between', async () => {
    replica.state.sites.orderHolder = PREDECESSOR
    await advance(500)
    replica.core.role = 'follower'
    await advance(100)
    replica.core.role = 'leader'
    replica.core.term = 3
    await advance(ORDER_LEASE_MS - 600)
    expect(orders).toEqual([])
    await advance(1000)
    expect(orders).not.toEqual([])
  })

  it('waits for a host that led and took the right over between two looks', async () => {
    await advance(5000)
    expect(orders).toHaveLength(2)
    replica.core.term = 4
    replica.state.sites.orderHolder = { replicaId: 'other', term: 3 }
    await advance(ORDER_LEASE_MS)
    expect(orders).toHaveLength(2)
    await advance(1000)
    expect(orders).toHaveLength(3)
  })

  it('waits also for what its own process ordered before a restart', async () => {
    replica.state.sites.orderHolder = { replicaId: 'self', term: 1 }
    await advance(ORDER_LEASE_MS)
    expect(orders).toEqual([])
    await advance(1000)
    expect(orders).not.toEqual([])
  })

  it('gives no order if another host took the right over while a quorum was asked', async () => {
    replica.whileConfirming = () => {
      replica.core.term = 4
      replica.state.sites.orderHolder = { replicaId: 'other', term: 3 }
    }
    await advance(500)
    expect(orders).toEqual([])
  })
})
