/** The conditions under which an endpoint stand-in works at present. */
import type { Condition, EndlessPart, SecondAnswerKind } from './standinProtocol.js'

/** Pace of a machine that is not slow, in hundredths of the usual time. */
const USUAL_PACE = 100

/** Time from the statement that a stand-in is brittle until it runs fewer requests, in milliseconds. */
const BRITTLE_NOTICE_MS = 3000

/** Holds the most recent order of each kind until it expires. */
export class ConditionState {
  readonly #orders = new Map<Condition['kind'], { readonly condition: Condition, readonly since: number, readonly until: number }>()

  /**
   * @param condition - condition from now on
   * @param now - monotonic milliseconds
   */
  set (condition: Condition, now: number): void {
    this.#orders.set(condition.kind, { condition, since: now, until: now + condition.durationMs })
  }

  /**
   * @param now - monotonic milliseconds
   * @returns time that work takes, in hundredths of the usual time
   */
  pace (now: number): number {
    const condition = this.#activeAt('slow', now)
    return condition?.kind === 'slow' ? condition.pace : USUAL_PACE
  }

  /**
   * @param now - monotonic milliseconds
   * @returns number of requests that may run at once
   */
  places (now: number): number {
    const full = this.#activeAt('full', now)
    // Hosts first have time to read that the stand-in is brittle.
    const brittle = this.#activeAt('brittle', now - BRITTLE_NOTICE_MS) && this.#activeAt('brittle', now)
    const second = this.#activeAt('second-answers', now)
    return Math.min(second?.kind === 'second-answers' ? second.places : Number.POSITIVE_INFINITY, full?.kind === 'full' ? full.places : Number.POSITIVE_INFINITY, brittle?.kind === 'brittle' ? brittle.places : Number.POSITIVE_INFINITY)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns rejections in a second that the stand-in tolerates; undefined if it tolerates any number
   */
  bears (now: number): number | undefined {
    const condition = this.#activeAt('brittle', now)
    return condition?.kind === 'brittle' ? condition.bears : undefined
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the part of all answers that has no end; undefined if they end
   */
  endlessPart (now: number): EndlessPart | undefined {
    const condition = this.#activeAt('endless', now)
    return condition?.kind === 'endless' ? condition.part : undefined
  }

  /**
   * @param now - monotonic milliseconds
   * @returns when second answers come; undefined if there are none
   */
  secondAnswers (now: number): SecondAnswerKind | undefined {
    const condition = this.#activeAt('second-answers', now)
    return condition?.kind === 'second-answers' ? condition.answers : undefined
  }

  #activeAt (kind: Condition['kind'], now: number): Condition | undefined {
    const order = this.#orders.get(kind)
    return order !== undefined && now >= order.since && now < order.until ? order.condition : undefined
  }
}
