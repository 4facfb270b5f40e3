import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { decodeLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import { NO_ENDPOINT_LOAD, type EndpointLoad, type LoadReport } from '@eelgrassmux/routing/load/loadReport'
import type { DatagramMethod } from '@eelgrassmux/rpc/datagrams/DatagramMethod'
import { exchangeLoadReport, sendLoadReport } from '@eelgrassmux/rpc/methods/loadMethods'
import type { DatagramServer } from '@eelgrassmux/rpc/datagrams/DatagramServer'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { LoadBoardTask, type LoadBoardPorts } from './LoadBoardTask.js'

const listed = { id: 'e', startedAtMs: 46_655, service: 's', address: '10.0.0.1:80', dataCentre: 'n', slots: 1, isLeaving: false, isBusy: false, models: [] }
/** Its name with its start. */
const INCARNATION = 'e@zzz'
const service = { type: 'replicated' as const, name: 's', connectionsPerEndpoint: 1, healthPath: '/well' }
const silent: EndpointLoad = { ...NO_ENDPOINT_LOAD, endpoint: INCARNATION, inFlight: 4, lastByteAgoMs: 900, waitedMs: 900 }

type Answer = (report: LoadReport) => Uint8Array | undefined

/** A task whose hosts report as a test says, on a virtual clock. */
class World {
  questions = 0
  isAlive = false
  readonly #answers = new Map<unknown, Answer>()
  #sequence = 0
  readonly task: LoadBoardTask

  constructor (ports: Partial<LoadBoardPorts> = {}) {
    this.task = new LoadBoardTask({
      probe: {
        isResponsive: async () => {
          this.questions += 1
          return await Promise.resolve(this.isAlive)
        },
        hasCrashed: async () => await Promise.resolve(undefined)
      },
      endpoints: () => [listed],
      service: () => service,
      telemetry: new Telemetry('test'),
      ...ports
    })
    const datagrams = { handle: (method: DatagramMethod<LoadReport, Uint8Array>, answer: Answer) => { this.#answers.set(method, answer) } }
    this.task.register(datagrams as unknown as DatagramServer)
  }

  tell (work: EndpointLoad[]): void {
    this.#answers.get(sendLoadReport)?.({ host: 'h', sequence: ++this.#sequence, work, links: [] })
  }

  /** @returns what the host hears of the endpoint */
  ask (): EndpointLoad | undefined {
    const bytes = this.#answers.get(exchangeLoadReport)?.({ host: 'h', sequence: ++this.#sequence, work: [], links: [] })
    return bytes === undefined ? undefined : decodeLoadTotals(Buffer.from(bytes)).work.find(({ endpoint }) => endpoint === INCARNATION)
  }

  async pass (milliseconds: number): Promise<void> { await vi.advanceTimersByTimeAsync(milliseconds) }
}

describe('LoadBoardTask', () => {
  beforeEach(() => { vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'performance'] }) })
  afterEach(() => { vi.useRealTimers() })

  it('tells all hosts of an endpoint that answers neither them nor it, until it answers', async () => {
    const world = new World()
    world.tell([silent])
    await world.pass(300)
    expect(world.questions).toBe(1)
    expect(world.ask()?.unresponsive).toBe(1)
    world.isAlive = true
    for (let turn = 0; turn < 20; turn += 1) {
      world.tell([])
      await world.pass(100)
    }
    expect(world.ask()).toBeUndefined()
    world.task.stop()
  })

  it('asks nobody while all hosts are silent, nor where it has nobody to ask through', async () => {
    const world = new World()
    world.tell([silent])
    await world.pass(3000)
    const { questions } = world
    await world.pass(10_000)
    expect(world.questions).toBe(questions)
    const withoutProbe = new World({ probe: undefined })
    withoutProbe.tell([silent])
    expect(vi.getTimerCount()).toBe(0)
  })

  it('asks no endpoint that the site does not have', async () => {
    const world = new World({ endpoints: () => [] })
    world.tell([silent])
    await world.pass(500)
    expect(world.questions).toBe(0)
  })
})
