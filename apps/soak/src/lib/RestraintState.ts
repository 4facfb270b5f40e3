/** The restraint that an endpoint stand-in currently asks of hosts. */
import type { Restraint, RestraintKind } from './standinProtocol.js'

/** Holds the most recent order until it expires; `leaving` never expires and cannot be replaced. */
export class RestraintState {
  #kind: RestraintKind | undefined
  #until = Number.NEGATIVE_INFINITY

  /**
   * @param restraint - what to ask for, and for how long
   * @param now - monotonic milliseconds
   */
  set ({ kind, durationMs }: Restraint, now: number): void {
    if (this.#kind === 'leaving') return
    this.#kind = kind
    this.#until = kind === 'leaving' ? Number.POSITIVE_INFINITY : now + durationMs
  }

  /**
   * @param now - monotonic milliseconds
   * @returns kind of the restraint that applies at this time; undefined if there is none
   */
  activeAt (now: number): RestraintKind | undefined {
    return now < this.#until ? this.#kind : undefined
  }
}
