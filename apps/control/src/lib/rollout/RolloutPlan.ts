/**
 * Plans which engines to poll and to order next, until all run the desired weights.
 *
 * The plan does no I/O: it takes observations from the list and the engines and
 * returns the next steps. Versions only increase while an engine runs, so an
 * outdated list can delay a step but never undo one. A restarted engine holds the
 * version that it reports and counts its orders from zero again.
 */
import { isLaterStart } from '@eelgrassmux/schema/site/isLaterStart'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { DesiredWeights } from '@eelgrassmux/state/commands'
import { planLoads, type LoadTarget, type ObservedEngine } from '../orders/planLoads.js'
import { RolloutPace } from './RolloutPace.js'

/** Status that an engine reports. */
export interface EngineStatus {
  /** Start time of the reporting incarnation, in Unix milliseconds on its own clock; undefined if the engine does not report it. */
  readonly startedAtMs: number | undefined
  readonly versions: ReadonlyMap<string, number>
  /** Whether an order is being executed. */
  readonly isBusy: boolean
  /** Number of orders that the engine has accepted since it started. */
  readonly acceptedOrders: number
}

/** An order to load weights. */
export interface LoadOrder {
  readonly endpoint: ListedEndpoint
  /** Start time of the incarnation that the order is for. */
  readonly startedAtMs: number | undefined
  readonly model: string
  readonly version: number
  /** Number of orders that the engine must have accepted so far, so that an order that arrives late has no effect. */
  readonly expectedOrders: number
}

/** Outcome of an order. */
export type OrderOutcome = 'accepted' | 'already-holds' | 'conflict' | 'refused' | 'unanswered'

/**
 * Share of a fleet that may load weights concurrently. According to the users' data
 * sheets, loads slow down beyond 2 of 8, 3 of 13, 18 of 63 and 28 of 98 engines, which
 * is 2/7 of each fleet.
 */
const CONCURRENT_LOAD_SHARE = 2 / 7

/** Time between the announcement that an engine will be busy and the order itself, in milliseconds, so that hosts receive the announcement first. */
const ANNOUNCEMENT_LEAD_MS = 60

/** Interval between polls of an engine that is loading or about to load, in milliseconds. Reports are delayed by 100 to 200 ms. */
const POLL_INTERVAL_MS = 150

/** Time after which an accepted order without a visible effect is considered lost, in milliseconds. */
const ORDER_EFFECT_TIMEOUT_MS = 3000

/**
 * Time within which an unanswered order may still be executed, in milliseconds, as
 * specified by the platform. An engine that restarts within this time counts orders
 * from 0, so the late order may match the expected count.
 */
const LATE_ORDER_WINDOW_MS = 12_000

/** Interval between polls of an engine that a late order may reach, in milliseconds. It is long because the platform charges for polls. */
const WATCH_POLL_INTERVAL_MS = 1000

/** Interval between polls of an engine that did not answer the last poll, in milliseconds. The list contains engines for seconds after they are gone. */
const SILENT_POLL_INTERVAL_MS = 500

/** Progress of one incarnation of an engine. */
interface EngineProgress {
  readonly startedAtMs: number | undefined
  status: EngineStatus | undefined
  polledAt: number
  announcedAt: number | undefined
  orderedAt: number
  /** Number of orders that the engine had accepted before the last one was sent. */
  orderedFrom: number
  wasAccepted: boolean
  /** Whether the last poll was not answered. Such an engine does not block orders to other engines. */
  isSilent: boolean
  /** Time until which an unanswered order may still be executed. */
  lateOrderUntil: number
  /** Time until which an order to an earlier incarnation may reach this one. Until then, the status of the engine takes precedence over the list. */
  watchedUntil: number | undefined
}

/** Next steps of a rollout. */
export interface RolloutSteps {
  /** Engines whose status is to be polled. */
  readonly polls: ListedEndpoint[]
  readonly orders: LoadOrder[]
}

/** Tracks the progress of all engines towards the desired weights. */
export class RolloutPlan {
  readonly #engines = new Map<string, EngineProgress>()
  readonly #pace: RolloutPace

  /** @param boundMs - time after which all engines should have weights that were named, in milliseconds; infinite if there is no bound */
  constructor (boundMs = Number.POSITIVE_INFINITY) {
    this.#pace = new RolloutPace(boundMs)
  }

  /** Drops all progress when this host is no longer the leader. */
  clear (): void {
    this.#engines.clear()
    this.#pace.clear()
  }

  /**
   * Records when versions were named, whether or not this host is the leader.
   *
   * @param weights - desired weight versions of models
   * @param now - monotonic milliseconds
   */
  observeDesired (weights: readonly DesiredWeights[], now: number): void {
    this.#pace.observeDesired(weights, now)
  }

  /**
   * @param id - id of the endpoint
   * @param status - status that the engine reported
   * @param now - monotonic milliseconds
   */
  observeStatus (id: string, status: EngineStatus, now: number): void {
    const progress = this.#progressOf(id, status.startedAtMs)
    if (isFromEarlierStart(status.startedAtMs, progress)) return
    progress.status = status
    progress.isSilent = false
    progress.polledAt = now
    if (!status.isBusy && status.acceptedOrders > progress.orderedFrom) {
      this.#pace.endTurn(id, now)
      progress.orderedFrom = Number.POSITIVE_INFINITY
    }
  }

  /**
   * Records that an engine did not answer a poll.
   *
   * @param id - id of the endpoint
   * @param startedAtMs - start time with which the endpoint was listed
   */
  observeNoAnswer (id: string, startedAtMs: number | undefined): void {
    const progress = this.#progressOf(id, startedAtMs)
    if (!isFromEarlierStart(startedAtMs, progress)) progress.isSilent = true
  }

  /**
   * @param order - planned order
   * @param outcome - outcome of the order
   * @param now - monotonic milliseconds
   */
  observeOrder (order: LoadOrder, outcome: OrderOutcome, now: number): void {
    const progress = this.#progressOf(order.endpoint.id, order.startedAtMs)
    const lateOrderUntil = outcome === 'unanswered' ? now + LATE_ORDER_WINDOW_MS : Number.NEGATIVE_INFINITY
    if (progress.startedAtMs !== order.startedAtMs) {
      if (outcome === 'unanswered') progress.watchedUntil = Math.max(lateOrderUntil, progress.watchedUntil ?? lateOrderUntil)
      return
    }
    progress.lateOrderUntil = Math.max(progress.lateOrderUntil, lateOrderUntil)
    progress.wasAccepted = outcome === 'accepted'
    progress.announcedAt = undefined
    // Poll again before the next step, because the answer may have been lost or another order may be in progress.
    progress.polledAt = outcome === 'accepted' ? now : Number.NEGATIVE_INFINITY
  }

  /**
   * Plans the next steps. The returned orders are considered sent.
   *
   * @param weights - desired weight versions of models
   * @param endpoints - listed endpoints
   * @param mayOrder - whether this host may send orders now
   * @param now - monotonic milliseconds
   */
  next (weights: readonly DesiredWeights[], endpoints: readonly ListedEndpoint[], mayOrder: boolean, now: number): RolloutSteps {
    const polls: ListedEndpoint[] = []
    const orders: LoadOrder[] = []
    this.observeDesired(weights, now)
    for (const { id, startedAtMs } of endpoints) {
      if (this.#engines.has(id)) this.#progressOf(id, startedAtMs)
    }
    this.#endWatches(now)
    this.#pace.cancelOthers(new Set(endpoints.map(({ id }) => id).filter(id => this.#engines.get(id)?.isSilent !== true)))
    for (const { model, version } of weights) {
      const fleet = endpoints.filter(endpoint => endpoint.models.some(held => held.model === model) && !endpoint.isLeaving)
      const observed = fleet.map(endpoint => this.#observed(endpoint, model, now))
      const target: LoadTarget = { name: model, version: String(version), servingFloor: 0 }
      const permits = Math.max(1, Math.floor(fleet.length * CONCURRENT_LOAD_SHARE))
      // Hosts fall back to announced engines when there is no other one, so one engine stays open until the others have loaded.
      const mostAtOnce = Math.max(permits, fleet.length - 1)
      const atOnce = Math.min(mostAtOnce, Math.max(permits, this.#enginesAtOnce(observed, model, version, now)))
      const planned = planLoads(new Map([[model, target]]), observed, atOnce).map(({ engine }) => engine.endpoint.listed)
      for (const endpoint of fleet) this.#pollIfDue(endpoint, model, version, planned, now, polls)
      if (!mayOrder) continue
      for (const endpoint of planned) {
        const order = this.#orderIfAnnounced(endpoint, model, version, now)
        if (order !== undefined) orders.push(order)
      }
    }
    return { polls, orders }
  }

  /**
   * @param endpoint - listed endpoint
   * @param model - name of the model
   * @returns the newest weight version that the endpoint is known to hold
   */
  versionOf (endpoint: ListedEndpoint, model: string): number {
    const listed = endpoint.models.find(held => held.model === model)?.version ?? 0
    const progress = this.#engines.get(endpoint.id)
    const stated = progress?.status?.versions.get(model)
    if (progress === undefined || stated === undefined || isLaterStart(endpoint.startedAtMs, progress.startedAtMs)) return listed
    const isListOutdated = isFromEarlierStart(endpoint.startedAtMs, progress)
    return isListOutdated || progress.watchedUntil !== undefined ? stated : Math.max(listed, stated)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether a late order may reach an engine that has restarted
   */
  isWatching (now: number): boolean {
    return [...this.#engines.values()].some(({ watchedUntil }) => watchedUntil !== undefined && now < watchedUntil)
  }

  /**
   * @param id - id of the endpoint
   * @param now - monotonic milliseconds
   * @returns whether the endpoint accepts no new work now or will shortly stop accepting it
   */
  isBusy (id: string, now: number): boolean {
    const progress = this.#engines.get(id)
    if (progress === undefined) return false
    return progress.announcedAt !== undefined || progress.status?.isBusy === true || this.#isPending(progress, now)
  }

  #observed (listed: ListedEndpoint, model: string, now: number): ObservedEngine<{ model: string, listed: ListedEndpoint }> {
    const progress = this.#engines.get(listed.id)
    const version = this.versionOf(listed, model)
    if (progress?.isSilent === true) return { endpoint: { model, listed }, runningVersion: undefined, loadingVersion: undefined, orderPending: false, rank: version }
    return {
      endpoint: { model, listed },
      rank: version,
      runningVersion: String(version),
      loadingVersion: progress?.status?.isBusy === true ? 'unknown' : undefined,
      orderPending: progress !== undefined && this.#isPending(progress, now)
    }
  }

  #pollIfDue (endpoint: ListedEndpoint, model: string, version: number, planned: readonly ListedEndpoint[], now: number, polls: ListedEndpoint[]): void {
    const isDone = this.versionOf(endpoint, model) >= version
    const progress = this.#engines.get(endpoint.id)
    const sincePoll = now - (progress?.polledAt ?? Number.NEGATIVE_INFINITY)
    if (isDone && progress?.watchedUntil !== undefined && sincePoll >= WATCH_POLL_INTERVAL_MS) {
      progress.polledAt = now
      polls.push(endpoint)
    }
    if (isDone && progress?.status?.isBusy !== true) {
      // The rollout on this engine is complete, so no order is pending. Its status is kept, because the list is delayed.
      if (progress !== undefined) {
        progress.announcedAt = undefined
        progress.wasAccepted = false
      }
      return
    }
    const isSilent = progress?.isSilent === true
    const isInvolved = isSilent || planned.includes(endpoint) || this.isBusy(endpoint.id, now)
    if (isInvolved && sincePoll >= (isSilent ? SILENT_POLL_INTERVAL_MS : POLL_INTERVAL_MS)) {
      this.#progressOf(endpoint.id, endpoint.startedAtMs).polledAt = now
      polls.push(endpoint)
    }
  }

  #enginesAtOnce (fleet: ReadonlyArray<ObservedEngine<{ model: string, listed: ListedEndpoint }>>, model: string, version: number, now: number): number {
    const behind = fleet.filter(({ runningVersion }) => runningVersion !== undefined && Number(runningVersion) < version)
    return this.#pace.enginesAtOnce(model, behind.map(({ runningVersion }) => Number(runningVersion)), now)
  }

  #orderIfAnnounced (endpoint: ListedEndpoint, model: string, version: number, now: number): LoadOrder | undefined {
    const progress = this.#progressOf(endpoint.id, endpoint.startedAtMs)
    progress.announcedAt ??= now
    this.#pace.beginTurn(endpoint.id, now)
    if (progress.status === undefined || now - progress.announcedAt < ANNOUNCEMENT_LEAD_MS) return undefined
    progress.orderedAt = now
    progress.orderedFrom = progress.status.acceptedOrders
    progress.wasAccepted = true
    return { endpoint, startedAtMs: progress.startedAtMs, model, version, expectedOrders: progress.status.acceptedOrders }
  }

  #isPending (progress: EngineProgress, now: number): boolean {
    return progress.wasAccepted && now - progress.orderedAt < ORDER_EFFECT_TIMEOUT_MS
  }

  /** Returns the progress of the latest known incarnation. A later start time resets the progress. */
  #progressOf (id: string, startedAtMs: number | undefined): EngineProgress {
    const present = this.#engines.get(id)
    if (present !== undefined && !isLaterStart(startedAtMs, present.startedAtMs)) return present
    const mayHaveLateOrder = present !== undefined && (present.lateOrderUntil > Number.NEGATIVE_INFINITY || present.watchedUntil !== undefined)
    const fresh: EngineProgress = {
      startedAtMs,
      status: undefined,
      polledAt: Number.NEGATIVE_INFINITY,
      announcedAt: undefined,
      orderedAt: Number.NEGATIVE_INFINITY,
      orderedFrom: Number.POSITIVE_INFINITY,
      wasAccepted: false,
      isSilent: false,
      lateOrderUntil: Number.NEGATIVE_INFINITY,
      watchedUntil: mayHaveLateOrder ? Math.max(present.lateOrderUntil, present.watchedUntil ?? present.lateOrderUntil) : undefined
    }
    this.#engines.set(id, fresh)
    this.#pace.cancelTurn(id)
    return fresh
  }

  #endWatches (now: number): void {
    for (const progress of this.#engines.values()) {
      if (progress.watchedUntil !== undefined && now >= progress.watchedUntil) progress.watchedUntil = undefined
    }
  }
}

/** Returns true if an observation belongs to an earlier start than the latest known one. */
function isFromEarlierStart (startedAtMs: number | undefined, progress: EngineProgress): boolean {
  return startedAtMs !== undefined && isLaterStart(progress.startedAtMs, startedAtMs)
}
