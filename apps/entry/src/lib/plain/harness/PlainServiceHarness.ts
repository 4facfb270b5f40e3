/** A handler of calls to plain services before one endpoint, for tests. */
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ServiceClient } from '@eelgrassmux/backends/ServiceClient'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { EndpointTable } from '@eelgrassmux/policy/health/EndpointTable'
import type { LostRequest } from '@eelgrassmux/routing/quarantine/CrashEvidence'
import { QuarantineTable } from '@eelgrassmux/routing/quarantine/QuarantineTable'
import { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import type { ConfigurationDocument, Customer } from '@eelgrassmux/schema/configuration'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { FleetWatcher } from '../../fleet/FleetWatcher.js'
import { GracefulShutdown } from '../../GracefulShutdown.js'
import { CallQuarantine } from '../../quarantine/CallQuarantine.js'
import { RequestQuarantine } from '../../quarantine/RequestQuarantine.js'
import { IDLE_REPORTER } from '../../routed/harness/emptyQuarantine.js'
import type { AtMostOnceExecutor } from '../AtMostOnceExecutor.js'
import { PlainHandler } from '../PlainHandler.js'

const MINUTE_MS = 60_000
const WARD: Customer = { kind: 'customer', name: 'ward', credentialSha256: 'a'.repeat(64), cacheSecret: 'secret of the ward', share: 1 }

/** What a caller received. */
export interface CallOutcome {
  readonly status: number
  /** Reason of a refusal. */
  readonly reason: string | undefined
  /** What a refusal states about the run. */
  readonly run: string | undefined
}

/** A handler with one endpoint of one plain service. */
export class PlainServiceHarness {
  readonly lost: LostRequest[] = []
  readonly whole: string[] = []
  readonly quarantined = new QuarantineTable()
  readonly table = new EndpointTable()
  calls = 0
  #server: Server | undefined
  #client: ServiceClient | undefined
  handler: PlainHandler | undefined

  async start (answer: RequestListener): Promise<void> {
    this.#server = createServer((request, response) => {
      this.calls += 1
      answer(request, response)
    })
    await new Promise<void>(resolve => { this.#server?.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
    const documents: ConfigurationDocument[] = [
      { kind: 'profile', name: 'p', weights: { firstTokenMillisecond: 1, recomputedToken: 1, linkKilobyte: 1 }, deadlineMs: 5000, firstTokenLimitMs: 1000, keep: 'never', returnChance: 0, expectedGapSeconds: 1, retries: 1, hedgeAfterMs: 0, priority: 5 },
      { kind: 'service', type: 'plain', name: 'app', profile: 'p', atMostOnce: false },
      { kind: 'endpoint', type: 'plain', name: 'app-0', address, dataCentre: 'n', service: 'app' }
    ]
    const configuration = new ConfigurationIndex(1, { documents })
    this.#client = new ServiceClient(address)
    this.table.retain(new Set(['app-0']))
    this.table.observeReport('app-0', { leaving: false, incarnation: 7 }, performance.now())
    const fleet = { serviceTable: this.table, service: () => this.#client } as unknown as FleetWatcher
    const telemetry = new Telemetry('test')
    const reporter = { ...IDLE_REPORTER, noteLost: (run: LostRequest) => { this.lost.push(run) }, noteWhole: (fingerprint: string) => { this.whole.push(fingerprint) } }
    const quarantine = new CallQuarantine(new RequestQuarantine(this.quarantined, reporter, telemetry), () => performance.now())
    const stop = new GracefulShutdown(new WorkGate(), { balancerLagMs: 100, graceMs: 1000 }, telemetry)
    this.handler = new PlainHandler(fleet, {} as AtMostOnceExecutor, () => configuration, telemetry.labelledCounter('retries_total', 'retries'), 1, stop, quarantine)
  }

  async get (path: string): Promise<CallOutcome> {
    return await this.call('GET', path)
  }

  async call (method: string, path: string): Promise<CallOutcome> {
    const answer = await this.handler?.handle(new Request(`http://host/${path}`, { method }), WARD, 'app', path)
    if (answer === undefined) throw new Error('not started')
    return answer.ok ? { status: answer.value.status, reason: undefined, run: undefined } : { status: answer.error.status, reason: answer.error.reason, run: answer.error.run }
  }

  quarantineRequest (fingerprint: string): void {
    this.quarantined.replace([{ fingerprint, service: 'app', state: 'quarantined', quarantines: 1, leftMs: MINUTE_MS }], performance.now())
  }

  async close (): Promise<void> {
    await this.#client?.close()
    this.#server?.closeAllConnections()
    this.#server?.close()
  }
}
