import type { Ledger, PromiseName } from './Ledger.js'
import type { Simulation } from './Simulation.js'

/** A system of cores under a seeded schedule. */
export interface World {
  /** Runs it to its end; breaks of promises go to the ledger, broken invariants are thrown. */
  run (): Promise<void>
}

/** Builds a world. */
export interface WorldFactory {
  readonly name: string
  /** Promises that the world exercises. */
  readonly promises: readonly PromiseName[]
  /**
   * @param simulation - schedule
   * @param ledger - where checks are counted
   * @param broken - promise whose mechanism is taken away, to see that the run finds it
   */
  create (simulation: Simulation, ledger: Ledger, broken: PromiseName | undefined): World
}
