/**
 * Rolls out weights to listed engines. The task runs on every control host and
 * acts only on the leader.
 *
 * Engines need not check fencing tokens. To keep two hosts from sending orders
 * alternately, a host claims the right to send orders in the replicated log. A
 * host that takes the right over first waits until the last order of the previous
 * holder can no longer take effect, and before each order a quorum confirms that
 * this host is the leader.
 */
import type { Result } from '@eelgrassmux/schema/Result'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { EndpointListTask, EndpointOverlay } from '../endpoints/EndpointListTask.js'
import { LeadershipTracker, type Leadership } from '../raft/LeadershipTracker.js'
import type { RaftTask } from '../raft/RaftTask.js'
import { RolloutPlan, type EngineStatus, type LoadOrder, type OrderOutcome } from './RolloutPlan.js'

/** Sender of an order, for engines that check it. */
export interface OrderAuthority {
  readonly holder: string
  /** Fencing token, which increases whenever another host takes over. */
  readonly fence: number
}

/** Access of a rollout to engines. */
export interface RolloutBackend {
  /** @returns the status that the engine reports */
  status (endpoint: ListedEndpoint): Promise<Result<EngineStatus, { readonly kind: string }>>
  /** @returns the outcome of the order */
  load (order: LoadOrder, authority: OrderAuthority): Promise<OrderOutcome>
}

/** Interval between reconciliations, in milliseconds. */
const RECONCILE_INTERVAL_MS = 50

/** Margin added to the time for which orders of the previous holder may take effect, in milliseconds. Its last order may still be in transit. */
const HANDOVER_MARGIN_MS = 300

/** Reconciles engines with the desired weights. */
export class RolloutTask {
  readonly #plan: RolloutPlan
  readonly #leadership = new LeadershipTracker()
  #isLeading = false
  /** Time until which the last order of another host may take effect. It is kept across elections, which do not cancel that order. */
  #handoverWaitUntil: number | undefined
  /** Whether this process has claimed the right to send orders. An earlier process of this host may have been waiting for another holder when it stopped. */
  #hasClaimed = false
  #isWatchingList = false
  #timer: NodeJS.Timeout | undefined
  #isReconciling = false
  #wasActive = false
  /** Ids of engines with a status poll in progress. */
  readonly #pendingPolls = new Set<string>()

  /**
   * @param raft - replica with the log and the state
   * @param list - endpoint list, which this task watches while the site names weights
   * @param backend - access to the engines
   * @param holder - name of this host in orders to engines
   * @param orderLeaseMs - time for which the last order of another host may take effect, in milliseconds
   * @param rolloutBoundMs - time after which all engines should have weights that were named, in milliseconds; infinite if there is no bound
   * @param telemetry - log and metrics
   */
  constructor (
    private readonly raft: RaftTask,
    private readonly list: EndpointListTask,
    private readonly backend: RolloutBackend,
    private readonly holder: string,
    private readonly orderLeaseMs: number,
    rolloutBoundMs: number,
    private readonly telemetry: Telemetry
  ) {
    this.#plan = new RolloutPlan(rolloutBoundMs)
  }

  /** Starts to reconcile the engines periodically. */
  start (): void {
    this.#timer = setInterval(() => { void this.#reconcile() }, RECONCILE_INTERVAL_MS)
  }

  /** Stops the reconciliation. */
  stop (): void {
    clearInterval(this.#timer)
  }

  async #reconcile (): Promise<void> {
    if (this.#isReconciling) return
    this.#isReconciling = true
    try {
      this.#plan.observeDesired(this.raft.state.sites.weights, performance.now())
      const leadership = this.#leadership.observe(this.raft.core, performance.now())
      if (leadership !== undefined) await this.#lead(leadership)
      else this.#stopLeading()
    } finally {
      this.#isReconciling = false
    }
  }

  #stopLeading (): void {
    if (!this.#isLeading) return
    this.#isLeading = false
    this.#wasActive = false
    this.#plan.clear()
    this.list.setOverlays(new Map())
    this.#watchList(false)
  }

  async #lead ({ since }: Leadership): Promise<void> {
    this.#isLeading = true
    const { weights } = this.raft.state.sites
    this.#watchList(weights.length > 0)
    if (weights.length === 0) return
    const wasActive = this.#wasActive
    const isDue = this.#isRolloutDue()
    this.#wasActive = isDue || this.#plan.isWatching(performance.now())
    if (!this.#wasActive && !wasActive) return
    const mayOrder = isDue && await this.#holdsOrderRight(since)
    const steps = this.#plan.next(weights, this.list.endpointsOfSite, mayOrder, performance.now())
    this.#publishOverlays()
    // These calls are not awaited, so that one engine without an answer does not delay the others.
    for (const endpoint of steps.polls) void this.#poll(endpoint)
    void this.#sendOrders(steps.orders)
  }

  #isRolloutDue (): boolean {
    return this.raft.state.sites.weights.some(({ model, version }) => this.list.endpointsOfSite.some(endpoint =>
      endpoint.models.some(held => held.model === model) && this.#plan.versionOf(endpoint, model) < version))
  }

  /** Claims the right to send orders. Returns true once this host holds it and no order of another host can take effect any more. */
  async #holdsOrderRight (leaderSince: number): Promise<boolean> {
    const { core, state } = this.raft
    if (this.#isHolder()) return this.#handoverWaitUntil === undefined || performance.now() >= this.#handoverWaitUntil
    // A new leader may not have applied the claim of its predecessor yet.
    if (!await this.raft.confirmRead()) return false
    const present = state.sites.orderHolder
    const isOwn = present?.replicaId === core.self.id && this.#hasClaimed
    const isTakenOver = present !== undefined && !isOwn
    if (isTakenOver) this.#handoverWaitUntil = leaderSince + this.orderLeaseMs + HANDOVER_MARGIN_MS
    this.#hasClaimed = true
    const outcome = await this.raft.propose({ kind: 'claim-orders', holder: { replicaId: core.self.id, term: core.term } })
    this.telemetry.logStateChange('order-right-claimed', {
      term: core.term, outcome: outcome.kind, previous: present?.replicaId ?? '', waitMs: isTakenOver ? this.orderLeaseMs : 0
    })
    return false
  }

  #isHolder (): boolean {
    const { core, state } = this.raft
    const { orderHolder } = state.sites
    return orderHolder?.replicaId === core.self.id && orderHolder.term === core.term
  }

  async #poll (endpoint: ListedEndpoint): Promise<void> {
    if (this.#pendingPolls.has(endpoint.id)) return
    this.#pendingPolls.add(endpoint.id)
    const status = await this.backend.status(endpoint)
    this.#pendingPolls.delete(endpoint.id)
    if (!this.#isLeading) return
    if (!status.ok) {
      this.#plan.observeNoAnswer(endpoint.id, endpoint.startedAtMs)
      return
    }
    this.#plan.observeStatus(endpoint.id, status.value, performance.now())
    const { startedAtMs = endpoint.startedAtMs } = status.value
    this.list.observeStart(endpoint.id, this.#overlayOf({ ...endpoint, startedAtMs }))
  }

  async #sendOrders (orders: readonly LoadOrder[]): Promise<void> {
    if (orders.length === 0) return
    // A lease is not sufficient, because this host may have been suspended since the lease was confirmed.
    // Another host may also have taken the right over while the quorum was queried.
    const isConfirmed = await this.raft.confirmRead() && this.#isHolder()
    await Promise.all(orders.map(async order => {
      const outcome = isConfirmed
        ? await this.backend.load(order, { holder: this.holder, fence: this.raft.core.term })
        : 'refused'
      // An answer that arrives after the leadership has ended must not enter the next plan.
      if (this.#isLeading) this.#plan.observeOrder(order, outcome, performance.now())
      this.telemetry.logStateChange('weights-ordered', {
        endpoint: order.endpoint.id, model: order.model, version: order.version, expectedOrders: order.expectedOrders, outcome, isConfirmed
      })
    }))
  }

  #publishOverlays (): void {
    this.list.setOverlays(new Map(this.list.endpointsOfSite.map(endpoint => [endpoint.id, this.#overlayOf(endpoint)])))
  }

  #overlayOf (endpoint: ListedEndpoint): EndpointOverlay {
    const models = endpoint.models.map(({ model }) => ({ model, version: this.#plan.versionOf(endpoint, model) }))
    return { startedAtMs: endpoint.startedAtMs, models, isBusy: this.#plan.isBusy(endpoint.id, performance.now()) }
  }

  #watchList (isWanted: boolean): void {
    if (isWanted === this.#isWatchingList) return
    this.#isWatchingList = isWanted
    if (isWanted) this.list.addWatcher()
    else this.list.removeWatcher()
  }
}
