/**
 * Pace of the machine that an endpoint shares with other programs, as the endpoint states it in its answers.
 *
 * A slow machine recovers within half a second or so, so the newest statement of any host counts, and it counts
 * the less the older it is and the longer the work takes that is estimated.
 */

/** Pace that an endpoint has stated. */
export interface PaceStatement {
  /** How many times as long as usual work takes on the machine. */
  readonly factor: number
  /** When the statement was read, in monotonic milliseconds of this host. */
  readonly statedAt: number
}

/** Factor of a machine that works at its usual pace. */
export const USUAL_PACE = 1

/** Age up to which a statement is used and passed on, in milliseconds. */
export const PACE_LIFETIME_MS = 250

/** Mean time until the pace of a machine is drawn anew, in milliseconds. */
const PACE_PERIOD_MS = 600

/** Statements of one endpoint that this host has read. */
export class MachinePace {
  #own: PaceStatement | undefined
  #lastUnusualAt = Number.NEGATIVE_INFINITY

  /**
   * @param factor - factor that an answer of the endpoint states
   * @param now - monotonic milliseconds
   */
  observe (factor: number, now: number): void {
    this.#own = { factor, statedAt: now }
    if (factor !== USUAL_PACE) this.#lastUnusualAt = now
  }

  /**
   * @param others - newest statement that other hosts have reported
   * @param now - monotonic milliseconds
   * @returns the newest statement that any host has read; undefined if there is no recent one
   */
  newest (others: PaceStatement | undefined, now: number): PaceStatement | undefined {
    const newest = laterOf(this.#own, others)
    return newest !== undefined && isRecent(newest.statedAt, now) ? newest : undefined
  }

  /**
   * Returns the statement to report to other hosts. The usual pace is reported only while a statement of another
   * pace, which other hosts may still use, is superseded by it.
   *
   * @param others - newest statement that other hosts have reported
   * @param now - monotonic milliseconds
   */
  reportable (others: PaceStatement | undefined, now: number): PaceStatement | undefined {
    const own = this.#own
    if (own === undefined || !isRecent(own.statedAt, now)) return undefined
    if (own.factor !== USUAL_PACE) return own
    const supersedesOthers = others !== undefined && isRecent(others.statedAt, now) && others.statedAt < own.statedAt
    return supersedesOthers || isRecent(this.#lastUnusualAt, now) ? own : undefined
  }
}

/**
 * Returns by how many times the work at an engine is expected to take longer than usual.
 *
 * The pace of a machine is drawn anew after a random time with the mean {@link PACE_PERIOD_MS}, so a statement still
 * holds with a probability that falls exponentially with its age. If it holds, the machine changes during the work
 * in the same way, and the rest of the work is done at the usual pace. That a machine may also become slow
 * applies to all machines alike, and is part of the fitted times.
 *
 * @param statement - newest recent statement; undefined if there is none
 * @param workMs - duration of the work at the usual pace
 * @param now - monotonic milliseconds
 */
export function expectedPace (statement: PaceStatement | undefined, workMs: number, now: number): number {
  if (statement === undefined || statement.factor === USUAL_PACE) return USUAL_PACE
  const { factor } = statement
  const work = Math.max(1, workMs) / PACE_PERIOD_MS
  return USUAL_PACE + holdProbability(statement, now) * (1 - 1 / factor) * (1 - Math.exp(-factor * work)) / work
}

/**
 * @param statement - pace that an endpoint has stated
 * @param now - monotonic milliseconds
 * @returns probability that the machine's pace has not been drawn anew since
 */
export function holdProbability ({ statedAt }: PaceStatement, now: number): number {
  return Math.exp(-Math.max(0, now - statedAt) / PACE_PERIOD_MS)
}

/**
 * Returns the pace to which the duration of finished work is attributed.
 *
 * @param expected - pace that was expected when the work was assigned
 * @param stated - newest statement when the work was finished; undefined if there is none
 * @param startedAt - when the work was assigned, in monotonic milliseconds
 */
export function observedPace (expected: number, stated: PaceStatement | undefined, startedAt: number): number {
  return stated === undefined || stated.statedAt < startedAt ? expected : (expected + stated.factor) / 2
}

function laterOf (one: PaceStatement | undefined, other: PaceStatement | undefined): PaceStatement | undefined {
  if (one === undefined || other === undefined) return one ?? other
  return other.statedAt > one.statedAt ? other : one
}

function isRecent (statedAt: number, now: number): boolean {
  return now - statedAt <= PACE_LIFETIME_MS
}
