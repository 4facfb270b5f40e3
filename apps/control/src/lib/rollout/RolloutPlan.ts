/**
 * Which engines to look at and to order next, so that all run the named weights.
 *
 * A core without network: it takes what the list and the engines said and
 * returns what to do. Versions only rise while an engine runs, so an old list can
 * delay a step but never undo one. An engine that has started again holds what it
 * says, and counts its orders anew.
 */
import { isLaterStart } from '@eelgrassmux/schema/site/isLaterStart'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { DesiredWeights } from '@eelgrassmux/state/commands'
import { planLoads, type LoadTarget, type ObservedEngine } from '../orders/planLoads.js'

/** What an engine says of itself. */
export interface EngineStatus {
  /** Start of the incarnation that says it, in Unix milliseconds on its own clock; undefined if it does not. */
  readonly startedAtMs: number | undefined
  readonly versions: ReadonlyMap<string, number>
  /** Whether an order is being carried out. */
  readonly isBusy: boolean
  /** Orders it has accepted since it started. */
  readonly acceptedOrders: number
}

/** An order to load weights. */
export interface LoadOrder {
  readonly endpoint: ListedEndpoint
  /** Start of the incarnation for which it is meant. */
  readonly startedAtMs: number | undefined
  readonly model: string
  readonly version: number
  /** Orders that the engine must have accepted so far; an order that arrives late then has no effect. */
  readonly expectedOrders: number
}

/** What became of an order. */
export type OrderOutcome = 'accepted' | 'already-holds' | 'conflict' | 'refused' | 'unanswered'

/**
 * Share of a fleet that loads at once. The users' sheets say that loads slow
 * down beyond 2 of 8, 3 of 13, 18 of 63 and 28 of 98 engines at once: 2/7 of each.
 */
const LOADING_SHARE = 2 / 7

/** Time between the announcement that an engine will be busy and the order itself, in milliseconds: hosts hear of it first. */
const ANNOUNCE_MS = 60

/** Interval between looks at an engine that loads or is to load, in milliseconds; reports lag by 100 to 200. */
const LOOK_MS = 150

/** Time after which an accepted order without an effect counts as lost, in milliseconds. */
const EFFECT_MS = 3000

/**
 * Time within which an order without an answer may still be carried out, in
 * milliseconds, as the platform states it. An engine that starts again in it counts
 * from 0, so the late order may meet the count that it expects.
 */
const LATE_ORDER_MS = 12_000

/** Interval between looks at an engine that a late order may reach, in milliseconds: looks are priced. */
const WATCH_LOOK_MS = 1000

/** Interval between looks at an engine that did not answer the last one, in milliseconds: the list names engines that are gone for seconds. */
const SILENT_LOOK_MS = 500

/** Of one incarnation. */
interface EngineProgress {
  readonly startedAtMs: number | undefined
  status: EngineStatus | undefined
  lookedAt: number
  announcedAt: number | undefined
  orderedAt: number
  wasAccepted: boolean
  /** Whether the last look brought no answer; such an engine keeps no other from being ordered. */
  isSilent: boolean
  /** Until when an order without an answer may be carried out. */
  lateUntil: number
  /** Until when an order to a former incarnation may reach this one; its status then goes before the list. */
  watchedUntil: number | undefined
}

/** Next steps of a rollout. */
export interface RolloutSteps {
  /** Engines to ask for their status. */
  readonly looks: ListedEndpoint[]
  readonly orders: LoadOrder[]
}

/** Progress of all engines towards the named weights. */
export class RolloutPlan {
  readonly #engines = new Map<string, EngineProgress>()

  /** Forgets everything, when this host stops leading. */
  clear (): void {
    this.#engines.clear()
  }

  /**
   * @param id - endpoint
   * @param status - what it said of itself
   * @param now - monotonic milliseconds
   */
  observeStatus (id: string, status: EngineStatus, now: number): void {
    const progress = this.#progressOf(id, status.startedAtMs)
    if (isFormer(status.startedAtMs, progress)) return
    progress.status = status
    progress.isSilent = false
    progress.lookedAt = now
  }

  /**
   * Notes that an engine did not answer a look.
   *
   * @param id - endpoint
   * @param startedAtMs - start under which it was listed
   */
  observeSilence (id: string, startedAtMs: number | undefined): void {
    const progress = this.#progressOf(id, startedAtMs)
    if (!isFormer(startedAtMs, progress)) progress.isSilent = true
  }

  /**
   * @param order - as planned
   * @param outcome - what became of it
   * @param now - monotonic milliseconds
   */
  observeOrder (order: LoadOrder, outcome: OrderOutcome, now: number): void {
    const progress = this.#progressOf(order.endpoint.id, order.startedAtMs)
    const lateUntil = outcome === 'unanswered' ? now + LATE_ORDER_MS : Number.NEGATIVE_INFINITY
    if (progress.startedAtMs !== order.startedAtMs) {
      if (outcome === 'unanswered') progress.watchedUntil = Math.max(lateUntil, progress.watchedUntil ?? lateUntil)
      return
    }
    progress.lateUntil = Math.max(progress.lateUntil, lateUntil)
    progress.wasAccepted = outcome === 'accepted'
    progress.announcedAt = undefined
    // Look again before the next step: the answer may have been lost, or another order may be in progress.
    progress.lookedAt = outcome === 'accepted' ? now : Number.NEGATIVE_INFINITY
  }

  /**
   * Plans the next steps; orders count as sent from now on.
   *
   * @param weights - versions that models should run
   * @param endpoints - the list
   * @param mayOrder - whether this host may give orders now
   * @param now - monotonic milliseconds
   */
  next (weights: readonly DesiredWeights[], endpoints: readonly ListedEndpoint[], mayOrder: boolean, now: number): RolloutSteps {
    const looks: ListedEndpoint[] = []
    const orders: LoadOrder[] = []
    for (const { id, startedAtMs } of endpoints) {
      if (this.#engines.has(id)) this.#progressOf(id, startedAtMs)
    }
    this.#endWatches(now)
    for (const { model, version } of weights) {
      const fleet = endpoints.filter(endpoint => endpoint.models.some(held => held.model === model) && !endpoint.isLeaving)
      const observed = fleet.map(endpoint => this.#observed(endpoint, model, now))
      const target: LoadTarget = { name: model, version: String(version), servingFloor: 0 }
      const permits = Math.max(1, Math.floor(fleet.length * LOADING_SHARE))
      const planned = planLoads(new Map([[model, target]]), observed, permits).map(({ engine }) => engine.endpoint.listed)
      for (const endpoint of fleet) this.#lookIfDue(endpoint, model, version, planned, now, looks)
      if (!mayOrder) continue
      for (const endpoint of planned) {
        const order = this.#orderIfAnnounced(endpoint, model, version, now)
        if (order !== undefined) orders.push(order)
      }
    }
    return { looks, orders }
  }

  /**
   * @param endpoint - as listed
   * @param model - model name
   * @returns the newest version it is known to hold
   */
  versionOf (endpoint: ListedEndpoint, model: string): number {
    const listed = endpoint.models.find(held => held.model === model)?.version ?? 0
    const progress = this.#engines.get(endpoint.id)
    const stated = progress?.status?.versions.get(model)
    if (progress === undefined || stated === undefined || isLaterStart(endpoint.startedAtMs, progress.startedAtMs)) return listed
    const isListFormer = isFormer(endpoint.startedAtMs, progress)
    return isListFormer || progress.watchedUntil !== undefined ? stated : Math.max(listed, stated)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether a late order may reach an engine that has started again
   */
  isWatching (now: number): boolean {
    return [...this.#engines.values()].some(({ watchedUntil }) => watchedUntil !== undefined && now < watchedUntil)
  }

  /**
   * @param id - endpoint
   * @param now - monotonic milliseconds
   * @returns whether it starts no new work now or will not in a moment
   */
  isBusy (id: string, now: number): boolean {
    const progress = this.#engines.get(id)
    if (progress === undefined) return false
    return progress.announcedAt !== undefined || progress.status?.isBusy === true || this.#isPending(progress, now)
  }

  #observed (listed: ListedEndpoint, model: string, now: number): ObservedEngine<{ model: string, listed: ListedEndpoint }> {
    const progress = this.#engines.get(listed.id)
    if (progress?.isSilent === true) return { endpoint: { model, listed }, runningVersion: undefined, loadingVersion: undefined, orderPending: false }
    return {
      endpoint: { model, listed },
      runningVersion: String(this.versionOf(listed, model)),
      loadingVersion: progress?.status?.isBusy === true ? 'unknown' : undefined,
      orderPending: progress !== undefined && this.#isPending(progress, now)
    }
  }

  #lookIfDue (endpoint: ListedEndpoint, model: string, version: number, planned: readonly ListedEndpoint[], now: number, looks: ListedEndpoint[]): void {
    const isDone = this.versionOf(endpoint, model) >= version
    const progress = this.#engines.get(endpoint.id)
    const sinceLook = now - (progress?.lookedAt ?? Number.NEGATIVE_INFINITY)
    if (isDone && progress?.watchedUntil !== undefined && sinceLook >= WATCH_LOOK_MS) {
      progress.lookedAt = now
      looks.push(endpoint)
    }
    if (isDone && progress?.status?.isBusy !== true) {
      // Complete: whatever was pending has had its effect. The version stays known, because the list lags.
      if (progress !== undefined) {
        progress.announcedAt = undefined
        progress.wasAccepted = false
      }
      return
    }
    const isSilent = progress?.isSilent === true
    const isInvolved = isSilent || planned.includes(endpoint) || this.isBusy(endpoint.id, now)
    if (isInvolved && sinceLook >= (isSilent ? SILENT_LOOK_MS : LOOK_MS)) {
      this.#progressOf(endpoint.id, endpoint.startedAtMs).lookedAt = now
      looks.push(endpoint)
    }
  }

  #orderIfAnnounced (endpoint: ListedEndpoint, model: string, version: number, now: number): LoadOrder | undefined {
    const progress = this.#progressOf(endpoint.id, endpoint.startedAtMs)
    progress.announcedAt ??= now
    if (progress.status === undefined || now - progress.announcedAt < ANNOUNCE_MS) return undefined
    progress.orderedAt = now
    progress.wasAccepted = true
    return { endpoint, startedAtMs: progress.startedAtMs, model, version, expectedOrders: progress.status.acceptedOrders }
  }

  #isPending (progress: EngineProgress, now: number): boolean {
    return progress.wasAccepted && now - progress.orderedAt < EFFECT_MS
  }

  /** Progress of the latest incarnation known; a later start than that begins anew. */
  #progressOf (id: string, startedAtMs: number | undefined): EngineProgress {
    const present = this.#engines.get(id)
    if (present !== undefined && !isLaterStart(startedAtMs, present.startedAtMs)) return present
    const mayBeLate = present !== undefined && (present.lateUntil > Number.NEGATIVE_INFINITY || present.watchedUntil !== undefined)
    const fresh: EngineProgress = {
      startedAtMs,
      status: undefined,
      lookedAt: Number.NEGATIVE_INFINITY,
      announcedAt: undefined,
      orderedAt: Number.NEGATIVE_INFINITY,
      wasAccepted: false,
      isSilent: false,
      lateUntil: Number.NEGATIVE_INFINITY,
      watchedUntil: mayBeLate ? Math.max(present.lateUntil, present.watchedUntil ?? present.lateUntil) : undefined
    }
    this.#engines.set(id, fresh)
    return fresh
  }

  #endWatches (now: number): void {
    for (const progress of this.#engines.values()) {
      if (progress.watchedUntil !== undefined && now >= progress.watchedUntil) progress.watchedUntil = undefined
    }
  }
}

/** Whether a statement is of an earlier start than the one that is known. */
function isFormer (startedAtMs: number | undefined, progress: EngineProgress): boolean {
  return startedAtMs !== undefined && isLaterStart(progress.startedAtMs, startedAtMs)
}
