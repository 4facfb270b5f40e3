import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import type { LostRequest } from '@eelgrassmux/routing/quarantine/CrashEvidence'
import { QuarantineTable } from '@eelgrassmux/routing/quarantine/QuarantineTable'
import type { ReportCrashesRequest } from '@eelgrassmux/rpc/methods/quarantineMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import { fail, succeed } from '@eelgrassmux/schema/Result'
import type { QuarantineState } from '@eelgrassmux/schema/quarantineEntry'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { respondOk, FakeEndpoint, resetConnection, streamEvent, type Behaviour } from '../routed/harness/FakeEndpoint.js'
import { RoutedHost } from '../routed/harness/RoutedHost.js'
import { CrashReporter } from './CrashReporter.js'
import { RequestQuarantine } from './RequestQuarantine.js'

const MINUTE_MS = 60_000

/** A host whose reports a test reads and whose entries it sets. */
class QuarantinedHost {
  readonly lost: LostRequest[] = []
  readonly whole: string[] = []
  readonly table = new QuarantineTable()
  readonly endpoints: FakeEndpoint[]
  readonly host: RoutedHost

  constructor (...behaviours: Behaviour[]) {
    this.endpoints = behaviours.map((behaviour, index) => new FakeEndpoint(`e${index}`, behaviour))
    const reporter = { noteLost: (run: LostRequest) => { this.lost.push(run) }, noteWhole: (fingerprint: string) => { this.whole.push(fingerprint) } }
    this.host = new RoutedHost(this.endpoints, { quarantine: new RequestQuarantine(this.table, reporter, new Telemetry('test')) })
  }

  get seen (): number { return this.endpoints.reduce((sum, { receivedRequests: seen }) => sum + seen.length, 0) }

  decide (fingerprint: string, state: QuarantineState): void {
    this.table.replace([{ fingerprint, service: 'app', state, quarantines: 1, leftMs: 15 * MINUTE_MS }], performance.now())
  }

  /** Asks once, with endpoints that break every connection, to learn what identifies the request. */
  async fingerprintOf (path: string): Promise<string> {
    const behaviours = this.endpoints.map(({ behaviour }) => behaviour)
    for (const endpoint of this.endpoints) endpoint.behaviour = resetConnection
    await this.host.sendRequest(path)
    for (const [index, endpoint] of this.endpoints.entries()) endpoint.behaviour = behaviours[index] ?? respondOk
    return this.lost.splice(0)[0]?.fingerprint ?? ''
  }
}

describe('an entry host', () => {
  let started: QuarantinedHost | undefined

  afterEach(async () => {
    await started?.host.close()
    started = undefined
  })

  async function hostWith (...behaviours: Behaviour[]): Promise<QuarantinedHost> {
    started = new QuarantinedHost(...behaviours)
    await started.host.start()
    return started
  }

  describe('reports a request that was lost with its endpoint', () => {
    it('once for each endpoint, under the same fingerprint whatever its id', async () => {
      const { host, lost } = await hostWith(resetConnection, resetConnection)
      await host.sendRequest('/safe/a')
      await host.sendRequest('/safe/a')
      expect(new Set(lost.map(({ fingerprint }) => fingerprint)).size).toBe(1)
      expect(new Set(lost.map(({ endpoint }) => endpoint))).toEqual(new Set(['e0', 'e1']))
    })

    it('and tells different requests apart', async () => {
      const { host, lost } = await hostWith(resetConnection)
      for (const path of ['/unsafe/a', '/unsafe/b']) await host.sendRequest(path)
      expect(new Set(lost.map(({ fingerprint }) => fingerprint)).size).toBe(2)
    })

    it('but none that was answered, rejected, or failed by the endpoint\'s own word', async () => {
      const failing: Behaviour = (_request, response) => {
        response.writeHead(500)
        response.end()
      }
      const { host, lost } = await hostWith(failing)
      await host.sendRequest('/unsafe/a')
      expect(lost).toEqual([])
    })
  })

  describe('quarantines a request that is quarantined', () => {
    it('at once, as not run, and says for how long', async () => {
      const world = await hostWith(respondOk)
      const fingerprint = await world.fingerprintOf('/unsafe/a')
      const before = world.seen
      world.decide(fingerprint, 'quarantined')
      const answer = await world.host.sendRequest('/unsafe/a')
      expect(answer.status).toBe(503)
      const problem = JSON.parse(answer.body) as Record<string, unknown>
      expect(problem).toMatchObject({ run: 'not-run' })
      expect(String(problem['type'])).toContain('request-quarantined')
      expect(String(problem['detail'])).toContain(fingerprint)
      expect(Number(answer.retryAfter)).toBeGreaterThan(14 * 60)
      expect(Number(answer.retryAfter)).toBeLessThanOrEqual(15 * 60)
      expect(world.seen).toBe(before)
    })

    it('and serves every other one as before', async () => {
      const world = await hostWith(respondOk)
      world.decide(await world.fingerprintOf('/unsafe/a'), 'quarantined')
      expect((await world.host.sendRequest('/unsafe/b')).status).toBe(200)
      expect((await world.host.sendRequest('/safe/a')).status).toBe(200)
    })

    it('also between two endpoints of one attempt', async () => {
      const world = await hostWith(respondOk, respondOk)
      const fingerprint = await world.fingerprintOf('/safe/a')
      const before = world.seen
      const judged: Behaviour = (request, response, body) => {
        world.decide(fingerprint, 'quarantined')
        resetConnection(request, response, body)
      }
      for (const endpoint of world.endpoints) endpoint.behaviour = judged
      const answer = await world.host.sendRequest('/safe/a')
      // It has run once, so nothing may say that it has not.
      expect(answer.status).toBe(502)
      expect(world.seen).toBe(before + 1)
    })

    it('also when a stream that has begun would go on elsewhere', async () => {
      const world = await hostWith(respondOk, respondOk)
      const fingerprint = await world.fingerprintOf('/resumable/a')
      const before = world.seen
      for (const endpoint of world.endpoints) {
        endpoint.behaviour = (request, response) => {
          response.writeHead(200)
          response.write(streamEvent(1))
          world.decide(fingerprint, 'quarantined')
          setTimeout(() => { request.socket.resetAndDestroy() }, 50)
        }
      }
      const answer = await world.host.sendRequest('/resumable/a')
      expect(answer.isWhole).toBe(false)
      expect(world.seen).toBe(before + 1)
    })

    it.each(['suspected', 'released'] as const)('but runs one that is only %s, and tells when it comes through', async state => {
      const world = await hostWith(respondOk)
      const fingerprint = await world.fingerprintOf('/unsafe/a')
      world.decide(fingerprint, state)
      expect((await world.host.sendRequest('/unsafe/a')).status).toBe(200)
      await world.host.sendRequest('/unsafe/b')
      expect(world.whole).toEqual([fingerprint])
    })
  })
})

describe('CrashReporter', () => {
  const run: LostRequest = { fingerprint: 'a'.repeat(32), service: 's', endpoint: 'e1', ranMs: 5 }
  let reporter: CrashReporter | undefined

  afterEach(() => { reporter?.stop() })

  interface SentReport { readonly leader: string, readonly request: ReportCrashesRequest }

  function reporterTo (leader: () => string | undefined, answer: (report: SentReport) => 'taken' | 'not-leader' | 'lost'): { readonly reporter: CrashReporter, readonly reports: SentReport[] } {
    const reports: SentReport[] = []
    const call = async (address: string, _method: unknown, request: ReportCrashesRequest): Promise<unknown> => {
      const entry = { leader: address, request }
      reports.push(entry)
      const outcome = answer(entry)
      return outcome === 'lost' ? fail({ kind: 'unreachable', address, detail: '' }) : succeed({ isTaken: outcome === 'taken' })
    }
    const rpc = { call } as unknown as Pick<RpcClient, 'call'>
    reporter = new CrashReporter('host', { rpc, leader, telemetry: new Telemetry('test') })
    return { reporter, reports }
  }

  async function until (condition: () => boolean): Promise<void> {
    while (!condition()) await sleep(10)
  }

  it('gathers what is lost with one end into one report', async () => {
    const { reporter, reports } = reporterTo(() => 'c1', () => 'taken')
    for (let request = 0; request < 5; request += 1) reporter.noteLost(run)
    await until(() => reports.length > 0)
    await sleep(300)
    expect(reports.map(({ request }) => request.losses.length)).toEqual([5])
  })

  it('tells again until it was taken, by whoever leads then', async () => {
    const { reporter, reports } = reporterTo(() => `c${reports.length}`, ({ leader }) => leader === 'c0' ? 'lost' : leader === 'c1' ? 'not-leader' : 'taken')
    reporter.noteLost(run)
    await until(() => reports.length === 3)
    expect(reports.every(({ request }) => request.losses[0]?.endpoint === 'e1')).toBe(true)
  })

  it('tells a new leader what it holds, although nothing new was lost', async () => {
    let leader = 'c1'
    const { reporter, reports } = reporterTo(() => leader, () => 'taken')
    reporter.noteLost(run)
    await until(() => reports.length === 1)
    leader = 'c2'
    reporter.leaderChanged()
    await until(() => reports.length === 2)
    expect(reports[1]).toMatchObject({ leader: 'c2', request: { losses: [{ endpoint: 'e1' }] } })
  })

  it('tells nobody anything of a change of leader while it holds nothing', async () => {
    const { reporter, reports } = reporterTo(() => 'c1', () => 'taken')
    reporter.leaderChanged()
    await sleep(100)
    expect(reports).toEqual([])
  })

  it('tells what is lost while it is telling', async () => {
    const { reporter, reports } = reporterTo(() => 'c1', () => {
      if (reports.length === 1) reporter.noteLost(run)
      return 'taken'
    })
    reporter.noteLost(run)
    await until(() => reports.length === 2)
    expect(reports.map(({ request }) => request.losses.length)).toEqual([1, 2])
  })

  it('tells what came through, and holds no loss against it any more', async () => {
    const { reporter, reports } = reporterTo(() => 'c1', () => 'taken')
    reporter.noteLost(run)
    reporter.noteWhole(run.fingerprint)
    await until(() => reports.length === 1)
    expect(reports[0]?.request).toMatchObject({ losses: [], completed: [run.fingerprint] })
  })
})
