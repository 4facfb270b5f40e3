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
import { IDLE_REPORTER } from '../routed/harness/emptyQuarantine.js'
import { RoutedHost } from '../routed/harness/RoutedHost.js'
import { CrashReporter } from './CrashReporter.js'
import { RequestQuarantine } from './RequestQuarantine.js'

const MINUTE_MS = 60_000

/** A host that records its reports and whose quarantine entries are set by the test. */
class QuarantineHarness {
  readonly lost: LostRequest[] = []
  readonly whole: string[] = []
  readonly table = new QuarantineTable()
  readonly endpoints: FakeEndpoint[]
  readonly host: RoutedHost

  constructor (...behaviours: Behaviour[]) {
    this.endpoints = behaviours.map((behaviour, index) => new FakeEndpoint(`e${index}`, behaviour))
    const reporter = { ...IDLE_REPORTER, noteLost: (run: LostRequest) => { this.lost.push(run) }, noteWhole: (fingerprint: string) => { this.whole.push(fingerprint) } }
    this.host = new RoutedHost(this.endpoints, { quarantine: new RequestQuarantine(this.table, reporter, new Telemetry('test')) })
  }

  get seen (): number { return this.endpoints.reduce((sum, { receivedRequests: seen }) => sum + seen.length, 0) }

  setQuarantineState (fingerprint: string, state: QuarantineState): void {
    this.table.replace([{ fingerprint, service: 'app', state, quarantines: 1, leftMs: 15 * MINUTE_MS }], performance.now())
  }

  /** Sends the request once to endpoints that reset every connection, and returns its reported fingerprint. */
  async fingerprintOf (path: string): Promise<string> {
    const behaviours = this.endpoints.map(({ behaviour }) => behaviour)
    for (const endpoint of this.endpoints) endpoint.behaviour = resetConnection
    await this.host.sendRequest(path)
    for (const [index, endpoint] of this.endpoints.entries()) endpoint.behaviour = behaviours[index] ?? respondOk
    return this.lost.splice(0)[0]?.fingerprint ?? ''
  }
}

describe('an entry host', () => {
  let started: QuarantineHarness | undefined

  afterEach(async () => {
    await started?.host.close()
    started = undefined
  })

  async function hostWith (...behaviours: Behaviour[]): Promise<QuarantineHarness> {
    started = new QuarantineHarness(...behaviours)
    await started.host.start()
    return started
  }

  describe('reports a request that was lost with its endpoint', () => {
    it('once for each endpoint, with a fingerprint that does not depend on the request id', async () => {
      const { host, lost } = await hostWith(resetConnection, resetConnection)
      await host.sendRequest('/safe/a')
      await host.sendRequest('/safe/a')
      expect(new Set(lost.map(({ fingerprint }) => fingerprint)).size).toBe(1)
      expect(new Set(lost.map(({ endpoint }) => endpoint))).toEqual(new Set(['e0', 'e1']))
    })

    it('with different fingerprints for different requests', async () => {
      const { host, lost } = await hostWith(resetConnection)
      for (const path of ['/unsafe/a', '/unsafe/b']) await host.sendRequest(path)
      expect(new Set(lost.map(({ fingerprint }) => fingerprint)).size).toBe(2)
    })

    it('but not a request that the endpoint answered with an error', async () => {
      const failing: Behaviour = (_request, response) => {
        response.writeHead(500)
        response.end()
      }
      const { host, lost } = await hostWith(failing)
      await host.sendRequest('/unsafe/a')
      expect(lost).toEqual([])
    })
  })

  describe('rejects a quarantined request', () => {
    it('immediately, as not run, with the remaining time', async () => {
      const harness = await hostWith(respondOk)
      const fingerprint = await harness.fingerprintOf('/unsafe/a')
      const before = harness.seen
      harness.setQuarantineState(fingerprint, 'quarantined')
      const answer = await harness.host.sendRequest('/unsafe/a')
      expect(answer.status).toBe(503)
      const problem = JSON.parse(answer.body) as Record<string, unknown>
      expect(problem).toMatchObject({ run: 'not-run' })
      expect(String(problem['type'])).toContain('request-quarantined')
      expect(String(problem['detail'])).toContain(fingerprint)
      expect(Number(answer.retryAfter)).toBeGreaterThan(14 * 60)
      expect(Number(answer.retryAfter)).toBeLessThanOrEqual(15 * 60)
      expect(harness.seen).toBe(before)
    })

    it('and serves all other requests', async () => {
      const harness = await hostWith(respondOk)
      harness.setQuarantineState(await harness.fingerprintOf('/unsafe/a'), 'quarantined')
      expect((await harness.host.sendRequest('/unsafe/b')).status).toBe(200)
      expect((await harness.host.sendRequest('/safe/a')).status).toBe(200)
    })

    it('also before a retry at another endpoint', async () => {
      const harness = await hostWith(respondOk, respondOk)
      const fingerprint = await harness.fingerprintOf('/safe/a')
      const before = harness.seen
      const quarantineThenReset: Behaviour = (request, response, body) => {
        harness.setQuarantineState(fingerprint, 'quarantined')
        resetConnection(request, response, body)
      }
      for (const endpoint of harness.endpoints) endpoint.behaviour = quarantineThenReset
      const answer = await harness.host.sendRequest('/safe/a')
      // The request may have run once, so the answer may not claim that it did not.
      expect(answer.status).toBe(502)
      expect(harness.seen).toBe(before + 1)
    })

    it('also before a started stream is resumed at another endpoint', async () => {
      const harness = await hostWith(respondOk, respondOk)
      const fingerprint = await harness.fingerprintOf('/resumable/a')
      const before = harness.seen
      for (const endpoint of harness.endpoints) {
        endpoint.behaviour = (request, response) => {
          response.writeHead(200)
          response.write(streamEvent(1))
          harness.setQuarantineState(fingerprint, 'quarantined')
          setTimeout(() => { request.socket.resetAndDestroy() }, 50)
        }
      }
      const answer = await harness.host.sendRequest('/resumable/a')
      expect(answer.isWhole).toBe(false)
      expect(harness.seen).toBe(before + 1)
    })

    it.each(['suspected', 'released'] as const)('but runs a request that is only %s, and reports its completion', async state => {
      const harness = await hostWith(respondOk)
      const fingerprint = await harness.fingerprintOf('/unsafe/a')
      harness.setQuarantineState(fingerprint, state)
      expect((await harness.host.sendRequest('/unsafe/a')).status).toBe(200)
      await harness.host.sendRequest('/unsafe/b')
      expect(harness.whole).toEqual([fingerprint])
    })
  })
})

describe('CrashReporter', () => {
  const run: LostRequest = { fingerprint: 'a'.repeat(32), service: 's', endpoint: 'e1', ranMs: 5 }
  let reporter: CrashReporter | undefined

  afterEach(() => { reporter?.stop() })

  interface SentReport { readonly leader: string, readonly request: ReportCrashesRequest }

  function reporterTo (leader: () => string | undefined, answer: (report: SentReport) => 'accepted' | 'not-leader' | 'lost'): { readonly reporter: CrashReporter, readonly reports: SentReport[] } {
    const reports: SentReport[] = []
    const call = async (address: string, _method: unknown, request: ReportCrashesRequest): Promise<unknown> => {
      const entry = { leader: address, request }
      reports.push(entry)
      const outcome = answer(entry)
      return outcome === 'lost' ? fail({ kind: 'unreachable', address, detail: '' }) : succeed({ isTaken: outcome === 'accepted' })
    }
    const rpc = { call } as unknown as Pick<RpcClient, 'call'>
    reporter = new CrashReporter('host', { rpc, leader, telemetry: new Telemetry('test') })
    return { reporter, reports }
  }

  async function until (condition: () => boolean): Promise<void> {
    while (!condition()) await sleep(10)
  }

  it('collects the losses of one crash into one report', async () => {
    const { reporter, reports } = reporterTo(() => 'c1', () => 'accepted')
    for (let request = 0; request < 5; request += 1) reporter.noteLost(run)
    await until(() => reports.length > 0)
    await sleep(300)
    expect(reports.map(({ request }) => request.losses.length)).toEqual([5])
  })

  it('repeats a report to the current leader until it is accepted', async () => {
    const { reporter, reports } = reporterTo(() => `c${reports.length}`, ({ leader }) => leader === 'c0' ? 'lost' : leader === 'c1' ? 'not-leader' : 'accepted')
    reporter.noteLost(run)
    await until(() => reports.length === 3)
    expect(reports.every(({ request }) => request.losses[0]?.endpoint === 'e1')).toBe(true)
  })

  it('repeats recorded losses to a new leader', async () => {
    let leader = 'c1'
    const { reporter, reports } = reporterTo(() => leader, () => 'accepted')
    reporter.noteLost(run)
    await until(() => reports.length === 1)
    leader = 'c2'
    reporter.leaderChanged()
    await until(() => reports.length === 2)
    expect(reports[1]).toMatchObject({ leader: 'c2', request: { losses: [{ endpoint: 'e1' }] } })
  })

  it('sends no report to a new leader if it has recorded no losses', async () => {
    const { reporter, reports } = reporterTo(() => 'c1', () => 'accepted')
    reporter.leaderChanged()
    await sleep(100)
    expect(reports).toEqual([])
  })

  it('reports losses that occur during a report', async () => {
    const { reporter, reports } = reporterTo(() => 'c1', () => {
      if (reports.length === 1) reporter.noteLost(run)
      return 'accepted'
    })
    reporter.noteLost(run)
    await until(() => reports.length === 2)
    expect(reports.map(({ request }) => request.losses.length)).toEqual([1, 2])
  })

  it('reports completed requests, and forgets their losses', async () => {
    const { reporter, reports } = reporterTo(() => 'c1', () => 'accepted')
    reporter.noteLost(run)
    reporter.noteWhole(run.fingerprint)
    await until(() => reports.length === 1)
    expect(reports[0]?.request).toMatchObject({ losses: [], completed: [run.fingerprint] })
  })
})
