/**
 * Which engines to look at and to order next, so that all run the named weights.
 *
 * A core without network: it takes what the list and the engines said and
 * returns what to do. Versions only rise on an engine, so an old list can delay
 * a step but never undo one.
 */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { NamedWeights } from '@eelgrassmux/state/commands'
import { planLoads, type LoadTarget, type ObservedEngine } from '../orders/planLoads.js'

/** What an engine says of itself. */
export interface EngineStatus {
  readonly versions: ReadonlyMap<string, number>
  /** Whether an order is being carried out. */
  readonly isBusy: boolean
  /** Orders it has accepted since it started. */
  readonly acceptedOrders: number
}

/** An order to load weights. */
export interface LoadOrder {
  readonly endpoint: ListedEndpoint
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

interface EngineProgress {
  status: EngineStatus | undefined
  lookedAt: number
  announcedAt: number | undefined
  orderedAt: number
  wasAccepted: boolean
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
    const progress = this.#progressOf(id)
    progress.status = status
    progress.lookedAt = now
  }

  /**
   * @param id - endpoint
   * @param outcome - what became of the order
   * @param now - monotonic milliseconds
   */
  observeOrder (id: string, outcome: OrderOutcome, now: number): void {
    const progress = this.#progressOf(id)
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
  next (weights: readonly NamedWeights[], endpoints: readonly ListedEndpoint[], mayOrder: boolean, now: number): RolloutSteps {
    const looks: ListedEndpoint[] = []
    const orders: LoadOrder[] = []
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
    return Math.max(listed, this.#engines.get(endpoint.id)?.status?.versions.get(model) ?? 0)
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
    if (isDone && progress?.status?.isBusy !== true) {
      // Complete: whatever was pending has had its effect. The version stays known, because the list lags.
      if (progress !== undefined) {
        progress.announcedAt = undefined
        progress.wasAccepted = false
      }
      return
    }
    const isInvolved = planned.includes(endpoint) || this.isBusy(endpoint.id, now)
    if (isInvolved && now - (progress?.lookedAt ?? Number.NEGATIVE_INFINITY) >= LOOK_MS) {
      this.#progressOf(endpoint.id).lookedAt = now
      looks.push(endpoint)
    }
  }

  #orderIfAnnounced (endpoint: ListedEndpoint, model: string, version: number, now: number): LoadOrder | undefined {
    const progress = this.#progressOf(endpoint.id)
    progress.announcedAt ??= now
    if (progress.status === undefined || now - progress.announcedAt < ANNOUNCE_MS) return undefined
    progress.orderedAt = now
    progress.wasAccepted = true
    return { endpoint, model, version, expectedOrders: progress.status.acceptedOrders }
  }

  #isPending (progress: EngineProgress, now: number): boolean {
    return progress.wasAccepted && now - progress.orderedAt < EFFECT_MS
  }

  #progressOf (id: string): EngineProgress {
    const present = this.#engines.get(id)
    if (present !== undefined) return present
    const fresh = {
      status: undefined,
      lookedAt: Number.NEGATIVE_INFINITY,
      announcedAt: undefined,
      orderedAt: Number.NEGATIVE_INFINITY,
      wasAccepted: false
    }
    this.#engines.set(id, fresh)
    return fresh
  }
}
