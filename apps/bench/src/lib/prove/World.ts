import type { CheckRecorder, PromiseName } from './CheckRecorder.js'
import type { Simulation } from './Simulation.js'

/** A simulated system that runs under a seeded schedule of events and faults. */
export interface World {
  /** Runs the system to its end. Violated promises go to the recorder; violated invariants are thrown. */
  run (): Promise<void>
}

/** Describes a world and creates instances of it. */
export interface WorldFactory {
  readonly name: string
  /** Promises that the world checks. */
  readonly promises: readonly PromiseName[]
  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled, to verify that the checks detect the violation
   */
  create (simulation: Simulation, recorder: CheckRecorder, broken: PromiseName | undefined): World
}
