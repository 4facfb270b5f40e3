/** What an endpoint stand-in asks of hosts at this moment. */
import type { Restraint, RestraintKind } from './standinProtocol.js'

/** Holds the last order. */
export class RestraintState {
  #kind: RestraintKind | undefined
  #until = Number.NEGATIVE_INFINITY

  /**
   * @param restraint - what to ask for
   * @param now - monotonic milliseconds
   */
  set ({ kind, durationMs }: Restraint, now: number): void {
    if (this.#kind === 'leaving') return
    this.#kind = kind
    this.#until = kind === 'leaving' ? Number.POSITIVE_INFINITY : now + durationMs
  }

  /**
   * @param now - monotonic milliseconds
   * @returns what is asked for, if anything is
   */
  activeAt (now: number): RestraintKind | undefined {
    return now < this.#until ? this.#kind : undefined
  }
}
