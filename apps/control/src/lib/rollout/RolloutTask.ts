/**
 * Carries out rollouts of weights on listed engines. Runs on every control host
 * and acts only on the leader.
 *
 * Engines need not check fencing numbers. So that two hosts never give orders by
 * turns, the right to give them is claimed in the agreed log; whoever takes it
 * over from another host first waits out the time for which that host's last
 * order may count, and before each order a quorum confirms that this host leads.
 */
import type { Result } from '@eelgrassmux/schema/Result'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { EndpointListTask, EndpointOverlay } from '../endpoints/EndpointListTask.js'
import { LeadershipClock, type Leadership } from '../raft/LeadershipClock.js'
import type { RaftTask } from '../raft/RaftTask.js'
import { RolloutPlan, type EngineStatus, type LoadOrder, type OrderOutcome } from './RolloutPlan.js'

/** Who gives an order, for engines that check it. */
export interface OrderAuthority {
  readonly holder: string
  /** Rises whenever another host takes over. */
  readonly fence: number
}

/** Engines as a rollout sees them. */
export interface RolloutBackend {
  /** @returns what the engine says of itself */
  status (endpoint: ListedEndpoint): Promise<Result<EngineStatus, { readonly kind: string }>>
  /** @returns what became of the order */
  load (order: LoadOrder, authority: OrderAuthority): Promise<OrderOutcome>
}

/** Interval between turns, in milliseconds. */
const TURN_MS = 50

/** Added to the time for which another host's orders may count, in milliseconds: its last order may still be on its way. */
const HANDOVER_MARGIN_MS = 300

/** Reconciles engines with the named weights. */
export class RolloutTask {
  readonly #plan = new RolloutPlan()
  readonly #leadership = new LeadershipClock()
  #isLeading = false
  /** Until when another host's last order may count; kept over elections, because that host's order does not know of them. */
  #waitsOutUntil: number | undefined
  /** Whether this process has claimed the right; an earlier one of this host may have waited for somebody, too. */
  #hasClaimed = false
  #isWatching = false
  #timer: NodeJS.Timeout | undefined
  #isBusy = false
  #wasActive = false
  /** Engines whose status is on its way. */
  readonly #asked = new Set<string>()

  /**
   * @param raft - log and state
   * @param list - the endpoint list; read while a rollout is under way
   * @param backend - engines
   * @param holder - name of this host towards engines
   * @param orderLeaseMs - time for which another host's last order may count, in milliseconds
   * @param telemetry - log and metrics
   */
  constructor (
    private readonly raft: RaftTask,
    private readonly list: EndpointListTask,
    private readonly backend: RolloutBackend,
    private readonly holder: string,
    private readonly orderLeaseMs: number,
    private readonly telemetry: Telemetry
  ) {}

  /** Starts to look after the engines. */
  start (): void {
    this.#timer = setInterval(() => { void this.#turn() }, TURN_MS)
  }

  /** Stops. */
  stop (): void {
    clearInterval(this.#timer)
  }

  async #turn (): Promise<void> {
    if (this.#isBusy) return
    this.#isBusy = true
    try {
      const leadership = this.#leadership.look(this.raft.core, performance.now())
      if (leadership !== undefined) await this.#lead(leadership)
      else this.#standBack()
    } finally {
      this.#isBusy = false
    }
  }

  #standBack (): void {
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
    const mayOrder = isDue && await this.#holdsOrders(since)
    const steps = this.#plan.next(weights, this.list.endpointsOfSite, mayOrder, performance.now())
    this.#publish()
    // Nobody waits for these: one engine without an answer must not hold up the others.
    for (const endpoint of steps.looks) void this.#look(endpoint)
    void this.#give(steps.orders)
  }

  #isRolloutDue (): boolean {
    return this.raft.state.sites.weights.some(({ model, version }) => this.list.endpointsOfSite.some(endpoint =>
      endpoint.models.some(held => held.model === model) && this.#plan.versionOf(endpoint, model) < version))
  }

  /** Claims the right to give orders; true once it is held and nobody else's order may count any more. */
  async #holdsOrders (leaderSince: number): Promise<boolean> {
    const { core, state } = this.raft
    if (this.#isHolder()) return this.#waitsOutUntil === undefined || performance.now() >= this.#waitsOutUntil
    // A new leader may not have applied its predecessor's claim yet.
    if (!await this.raft.confirmRead()) return false
    const present = state.sites.orderHolder
    const isOwn = present?.replicaId === core.self.id && this.#hasClaimed
    const isTakenOver = present !== undefined && !isOwn
    if (isTakenOver) this.#waitsOutUntil = leaderSince + this.orderLeaseMs + HANDOVER_MARGIN_MS
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

  async #look (endpoint: ListedEndpoint): Promise<void> {
    if (this.#asked.has(endpoint.id)) return
    this.#asked.add(endpoint.id)
    const status = await this.backend.status(endpoint)
    this.#asked.delete(endpoint.id)
    if (!this.#isLeading) return
    if (!status.ok) {
      this.#plan.observeSilence(endpoint.id, endpoint.startedAtMs)
      return
    }
    this.#plan.observeStatus(endpoint.id, status.value, performance.now())
    const { startedAtMs = endpoint.startedAtMs } = status.value
    this.list.observeStart(endpoint.id, this.#overlayOf({ ...endpoint, startedAtMs }))
  }

  async #give (orders: readonly LoadOrder[]): Promise<void> {
    if (orders.length === 0) return
    // A lease would not do: this host may have been suspended since it was confirmed.
    // While the quorum was asked, another host may have taken the right over.
    const isConfirmed = await this.raft.confirmRead() && this.#isHolder()
    await Promise.all(orders.map(async order => {
      const outcome = isConfirmed
        ? await this.backend.load(order, { holder: this.holder, fence: this.raft.core.term })
        : 'refused'
      // An answer that comes after leadership has ended belongs to no plan.
      if (this.#isLeading) this.#plan.observeOrder(order, outcome, performance.now())
      this.telemetry.logStateChange('weights-ordered', {
        endpoint: order.endpoint.id, model: order.model, version: order.version, expectedOrders: order.expectedOrders, outcome, isConfirmed
      })
    }))
  }

  #publish (): void {
    this.list.setOverlays(new Map(this.list.endpointsOfSite.map(endpoint => [endpoint.id, this.#overlayOf(endpoint)])))
  }

  #overlayOf (endpoint: ListedEndpoint): EndpointOverlay {
    const models = endpoint.models.map(({ model }) => ({ model, version: this.#plan.versionOf(endpoint, model) }))
    return { startedAtMs: endpoint.startedAtMs, models, isBusy: this.#plan.isBusy(endpoint.id, performance.now()) }
  }

  #watchList (isWanted: boolean): void {
    if (isWanted === this.#isWatching) return
    this.#isWatching = isWanted
    if (isWanted) this.list.addWatcher()
    else this.list.removeWatcher()
  }
}
