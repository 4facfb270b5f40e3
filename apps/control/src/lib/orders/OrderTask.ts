/**
 * Orders engines to load the desired weight versions. The task runs on every
 * control host and acts only on the leader.
 *
 * Each order carries the term and the commit index as fencing token. Endpoints
 * that ignore the token are protected by timing: an order is sent only under a
 * confirmed lease, which is checked again just before the call, and is abandoned
 * after a timeout. A new leader first waits for the lease and the timeout of its
 * predecessor to expire.
 */
import type { EngineBackend } from '@eelgrassmux/backends/EngineClient'
import type { EngineReport } from '@eelgrassmux/backends/engineProtocol'
import { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import type { EngineEndpoint } from '@eelgrassmux/schema/configuration'
import type { OrderReport } from '@eelgrassmux/rpc/methods/controlMethods'
import { LeadershipTracker, type Leadership } from '../raft/LeadershipTracker.js'
import type { RaftTask } from '../raft/RaftTask.js'
import { planLoads, type ObservedEngine } from './planLoads.js'

/** Interval between polls of the engines, in milliseconds. */
const RECONCILE_INTERVAL_MS = 300

/** Timeout of one order, in milliseconds. */
const ORDER_TIMEOUT_MS = 1000

/** Time after which an order without a visible effect is considered lost, in milliseconds. */
const ORDER_EFFECT_TIMEOUT_MS = 3000

/** Counts orders by outcome. */
export type OrderCounter = (outcome: 'sent' | 'accepted' | 'stale-fence' | 'failed' | 'lease-lost') => void

/** Reconciles engines with the configuration. */
export class OrderTask {
  readonly #clients = new Map<string, EngineBackend & { close (): Promise<void> }>()
  readonly #reports = new Map<string, EngineReport>()
  readonly #orderedAt = new Map<string, number>()
  readonly #leadership = new LeadershipTracker()
  #index = new ConfigurationIndex(0, { documents: [] })
  #timer: NodeJS.Timeout | undefined
  #isReconciling = false

  /**
   * @param raft - replica with the log, the lease and the state
   * @param connect - opens a client for the address of an engine
   * @param counter - counts orders by outcome
   */
  constructor (
    private readonly raft: RaftTask,
    private readonly connect: (address: string) => EngineBackend & { close (): Promise<void> },
    private readonly counter: OrderCounter
  ) {}

  /** Starts to poll the engines. */
  start (): void {
    this.#timer = setInterval(() => { void this.#reconcile() }, RECONCILE_INTERVAL_MS)
  }

  /** Stops polling and closes all connections. */
  async stop (): Promise<void> {
    clearInterval(this.#timer)
    for (const client of this.#clients.values()) await client.close()
  }

  /** @returns the state of each engine compared with the desired version */
  reports (): OrderReport[] {
    return [...this.#index.engines.values()].map(endpoint => {
      const report = this.#reports.get(endpoint.name)
      const desiredVersion = this.#index.models.get(endpoint.model)?.version ?? ''
      return {
        endpoint: endpoint.name,
        model: endpoint.model,
        runningVersion: report?.version ?? '',
        desiredVersion,
        state: stateOf(report, desiredVersion)
      }
    })
  }

  async #reconcile (): Promise<void> {
    if (this.#isReconciling) return
    this.#isReconciling = true
    try {
      const leadership = this.#leadership.observe(this.raft.core, performance.now())
      if (leadership !== undefined) {
        await this.#observe()
        await this.#orderNext(leadership)
      } else {
        this.#reports.clear()
        this.#orderedAt.clear()
      }
    } finally {
      this.#isReconciling = false
    }
  }

  async #observe (): Promise<void> {
    if (this.#index.revision !== this.raft.state.revision) {
      this.#index = new ConfigurationIndex(this.raft.state.revision, this.raft.state.configuration)
    }
    await Promise.all([...this.#index.engines.values()].map(async endpoint => {
      const report = await this.#client(endpoint).report()
      if (report.ok) this.#reports.set(endpoint.name, report.value)
      else this.#reports.delete(endpoint.name)
    }))
  }

  async #orderNext (leadership: Leadership): Promise<void> {
    const now = performance.now()
    if (now < leadership.since + this.raft.core.settings.leaseMs + ORDER_TIMEOUT_MS) return
    const engines = [...this.#index.engines.values()].map(endpoint => this.#observed(endpoint, now))
    const planned = planLoads(this.#index.models, engines)
    await Promise.all(planned.map(async ({ engine, version }) => { await this.#order(engine.endpoint, version, leadership) }))
  }

  #observed (endpoint: EngineEndpoint, now: number): ObservedEngine<EngineEndpoint> {
    const report = this.#reports.get(endpoint.name)
    const orderedAt = this.#orderedAt.get(endpoint.name) ?? Number.NEGATIVE_INFINITY
    const desired = this.#index.models.get(endpoint.model)?.version
    return {
      endpoint,
      // Versions of this interface are names, whose order is not known.
      rank: orderedAt,
      runningVersion: report?.version,
      loadingVersion: report?.loadingVersion,
      orderPending: now - orderedAt < ORDER_EFFECT_TIMEOUT_MS && report?.version !== desired
    }
  }

  async #order (endpoint: EngineEndpoint, version: string, leadership: Leadership): Promise<void> {
    const { core } = this.raft
    if (core.term !== leadership.term || !core.holdsLease(performance.now())) {
      this.counter('lease-lost')
      return
    }
    this.counter('sent')
    this.#orderedAt.set(endpoint.name, performance.now())
    const fence = { term: core.term, index: core.commitIndex }
    const order = { kind: 'load-version' as const, model: endpoint.model, version }
    const answer = await this.#client(endpoint).sendOrder({ fence, order }, ORDER_TIMEOUT_MS)
    if (answer.ok) this.counter('accepted')
    else this.counter(answer.error.kind === 'rejected' && answer.error.detail === 'stale-fence' ? 'stale-fence' : 'failed')
  }

  #client (endpoint: EngineEndpoint): EngineBackend {
    const present = this.#clients.get(endpoint.address)
    if (present !== undefined) return present
    const client = this.connect(endpoint.address)
    this.#clients.set(endpoint.address, client)
    return client
  }
}

function stateOf (report: EngineReport | undefined, desiredVersion: string): OrderReport['state'] {
  if (report === undefined) return 'silent'
  if (report.version === desiredVersion) return 'as-desired'
  return report.loadingVersion === undefined ? 'waiting' : 'loading'
}
