/**
 * Decides how many engines of a model are out of service at a time, so that all of them have new weights within the agreed time.
 *
 * An engine takes no new requests from its announcement until it has loaded the weights. Most of that time it waits for its
 * runs, which takes nothing from the weight store. With short runs, as many engines as may load at a time are enough; with long
 * ones more of them have to wait for their runs at the same time.
 */
import type { DesiredWeights } from '@eelgrassmux/state/commands'

interface NamedVersion {
  readonly version: number
  /** Monotonic milliseconds. */
  readonly namedAt: number
}

/** Time by which a rollout is to end before the agreed time, in milliseconds: orders and reports arrive some tenths of a second late. */
const SAFETY_MARGIN_MS = 500

/** Time for which turns count for the estimate of the next ones, in milliseconds. */
const SAMPLE_RETENTION_MS = 60_000

/** Ratio of the expected length of a turn to the longest one so far, until one has ended. */
const EXPECTED_TURN_RATIO = 3

/** Number of versions of a model whose age is kept. An engine that is further behind is subject to the oldest of them. */
const MAX_VERSIONS_PER_MODEL = 20

interface Sample {
  readonly at: number
  readonly durationMs: number
}

/** Estimates how long engines take to finish their runs and load weights, and compares it with the time that is left. */
export class RolloutPace {
  /** By model, in ascending order of version. */
  readonly #named = new Map<string, NamedVersion[]>()
  /** Monotonic milliseconds at which each turn in progress began, by engine id. */
  readonly #begunAt = new Map<string, number>()
  #ended: Sample[] = []

  /** @param boundMs - time after which all engines should have weights that were named; infinite if there is no bound */
  constructor (private readonly boundMs: number) {}

  /**
   * Records when versions were named. Must be called by hosts that are not the leader as well, because they may become it.
   *
   * @param weights - desired weight versions of models
   * @param now - monotonic milliseconds
   */
  observeDesired (weights: readonly DesiredWeights[], now: number): void {
    for (const { model, version } of weights) {
      const named = this.#named.get(model) ?? []
      if ((named.at(-1)?.version ?? 0) >= version) continue
      this.#named.set(model, [...named, { version, namedAt: now }].slice(-MAX_VERSIONS_PER_MODEL))
    }
  }

  /**
   * @param id - engine that takes no new requests from now on; ignored if its turn has begun before
   * @param now - monotonic milliseconds
   */
  beginTurn (id: string, now: number): void {
    if (!this.#begunAt.has(id)) this.#begunAt.set(id, now)
  }

  /**
   * @param id - engine that has loaded weights
   * @param now - monotonic milliseconds
   */
  endTurn (id: string, now: number): void {
    const begunAt = this.#begunAt.get(id)
    if (begunAt === undefined) return
    this.#begunAt.delete(id)
    this.#ended = [...this.#ended.filter(({ at }) => now - at < SAMPLE_RETENTION_MS), { at: now, durationMs: now - begunAt }]
  }

  /** @param id - engine that has restarted */
  cancelTurn (id: string): void {
    this.#begunAt.delete(id)
  }

  /** @param ids - engines that are listed and answer; the turns of others are not expected to end */
  cancelOthers (ids: ReadonlySet<string>): void {
    for (const id of [...this.#begunAt.keys()]) if (!ids.has(id)) this.#begunAt.delete(id)
  }

  /** Drops all turns when this host is no longer the leader. */
  clear (): void {
    this.#begunAt.clear()
    this.#ended = []
  }

  /**
   * Number of engines that have to be out of service now.
   *
   * @param model - model of the engines
   * @param versions - versions of the engines that lack the desired one
   * @param now - monotonic milliseconds
   */
  enginesAtOnce (model: string, versions: readonly number[], now: number): number {
    const turnMs = this.#expectedTurnMs(now)
    const deadlines = versions.map(version => this.#deadlineOf(model, version)).sort((left, right) => left - right)
    return Math.max(0, ...deadlines.map((deadline, position) => {
      const count = position + 1
      const leftMs = deadline - now
      return leftMs <= turnMs ? count : Math.floor(count * turnMs / leftMs)
    }))
  }

  #expectedTurnMs (now: number): number {
    const elapsed = [...this.#begunAt.values()].map(begunAt => now - begunAt)
    if (this.#ended.length === 0) return EXPECTED_TURN_RATIO * secondLongest(elapsed)
    return secondLongest([...elapsed, ...this.#ended.map(({ durationMs }) => durationMs)])
  }

  #deadlineOf (model: string, loadedVersion: number): number {
    const next = this.#named.get(model)?.find(({ version }) => version > loadedVersion)
    return next === undefined ? Number.POSITIVE_INFINITY : next.namedAt + this.boundMs - SAFETY_MARGIN_MS
  }
}

/** Ignores the longest one, so that a single slow engine does not put all others out of service. */
function secondLongest (durationsMs: readonly number[]): number {
  const [longest = 0, second = longest] = [...durationsMs].sort((left, right) => right - left)
  return second
}
