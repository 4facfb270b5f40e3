import { describe, expect, it } from 'vitest'
import { succeed, type Result } from '@eelgrassmux/schema/Result'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { RejectedEntries } from '@eelgrassmux/telemetry/RejectedEntries'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { EndpointListTask } from '../endpoints/EndpointListTask.js'
import type { EndpointReading } from '../endpoints/EndpointRegister.js'
import type { RaftTask } from '../raft/RaftTask.js'
import type { EngineStatus, LoadOrder, OrderOutcome } from './RolloutPlan.js'
import { RolloutTask, type RolloutBackend } from './RolloutTask.js'

const LIST_MS = 10

const listed = (id: string, service: string): ListedEndpoint => ({
  id, service, address: `${id}:1`, dataCentre: 'n', slots: 1, isLeaving: false, isBusy: false, models: [{ model: 'm', version: 1 }], startedAtMs: 1000
})

const SITE = { services: [{ type: 'replicated', name: 'pool' }] }

/** The leader's log, as far as a rollout reads it. */
const RAFT = {
  core: { role: 'leader', term: 1, self: { id: 'r' } },
  state: { sites: { weights: [{ model: 'm', version: 2 }], orderHolder: { replicaId: 'r', term: 1 }, put: { site: SITE } } },
  confirmRead: async () => true
} as unknown as RaftTask

/** Engines that started at 2000, while the list says 1000. */
class RestartedEngines implements RolloutBackend {
  readonly asked = new Set<string>()
  readonly ordered: Promise<LoadOrder>
  #resolve: (order: LoadOrder) => void = () => {}

  constructor () {
    this.ordered = new Promise(resolve => { this.#resolve = resolve })
  }

  async status ({ id }: ListedEndpoint): Promise<Result<EngineStatus, { readonly kind: string }>> {
    this.asked.add(id)
    return succeed({ startedAtMs: 2000, versions: new Map([['m', 1]]), isBusy: false, acceptedOrders: 3 })
  }

  async load (order: LoadOrder): Promise<OrderOutcome> {
    this.#resolve(order)
    return 'accepted'
  }
}

describe('RolloutTask', () => {
  it('tells the list of a start that an engine states, and orders only engines of the site', async () => {
    const telemetry = new Telemetry('test')
    const reading: EndpointReading = { endpoints: [listed('b', 'unknown'), listed('a', 'pool')], rejected: [], incompleteBecause: undefined }
    const list = new EndpointListTask({ list: async () => succeed(reading) }, LIST_MS, () => RAFT.state.sites.put?.site, new RejectedEntries(telemetry), telemetry)
    const engines = new RestartedEngines()
    const task = new RolloutTask(RAFT, list, engines, 'host', 3000, telemetry)
    task.start()
    const order = await engines.ordered
    task.stop()
    list.stop()
    expect([...engines.asked]).toEqual(['a'])
    expect(order).toMatchObject({ endpoint: { id: 'a' }, startedAtMs: 2000, expectedOrders: 3 })
    expect(list.endpoints).toMatchObject([{ id: 'b', startedAtMs: 1000 }, { id: 'a', startedAtMs: 2000, models: [{ version: 1 }] }])
  })
})
