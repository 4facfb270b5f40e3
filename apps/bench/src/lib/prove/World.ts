import type { CheckRecorder, PromiseName } from './CheckRecorder.js'
import type { Simulation } from './Simulation.js'

/** A system of cores under a seeded schedule. */
export interface World {
  /** Runs it to its end; breaks of promises go to the recorder, broken invariants are thrown. */
  run (): Promise<void>
}

/** Builds a world. */
export interface WorldFactory {
  readonly name: string
  /** Promises that the world exercises. */
  readonly promises: readonly PromiseName[]
  /**
   * @param simulation - schedule
   * @param recorder - where checks are counted
   * @param broken - promise whose mechanism is taken away, to see that the run finds it
   */
  create (simulation: Simulation, recorder: CheckRecorder, broken: PromiseName | undefined): World
}
