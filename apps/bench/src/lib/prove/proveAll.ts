/** Runs the worlds with many seeds, reports on each promise, and reduces each violation to the faults it needs. */
import { InvariantViolation } from '@eelgrassmux/schema/invariant'
import { CheckRecorder, PROMISES, type PromiseName, type Violation } from './CheckRecorder.js'
import { FAULT_KINDS, Simulation, type FaultKind } from './Simulation.js'
import type { WorldFactory } from './World.js'
import { WORLDS } from './worlds/worlds.js'

/** Options of a series of randomised runs. */
export interface ProveOptions {
  readonly seconds: number
  /** Number of runs of each world; if undefined, runs are started for `seconds`. */
  readonly runs: number | undefined
  readonly seed: number
  readonly promise: PromiseName | undefined
  readonly broken: PromiseName | undefined
  /** Stops at the first violation and does not search for the minimal set of faults. */
  readonly stopAtFirstViolation?: boolean
}

/** Result of one seeded run of one world. */
interface RunOutcome {
  readonly recorder: CheckRecorder
  readonly simulation: Simulation
}

interface PromiseTotals {
  runs: number
  events: number
  faults: number
  violations: number
}

/** Number of violations reported in full; further ones usually have the same cause. */
const MAX_SHOWN_VIOLATIONS = 3

/**
 * Runs all worlds that check the selected promises.
 *
 * @param options - which worlds to run and for how long
 * @param print - prints a line of the report
 * @returns exit code: 0 if every selected promise was checked and held
 */
export async function proveAll (options: ProveOptions, print: (line: string) => void): Promise<number> {
  const selectedPromises = PROMISES.filter(promise => options.promise === undefined || promise === options.promise)
  const worlds = WORLDS.filter(world => world.promises.some(promise => selectedPromises.includes(promise)))
  const totals = new Map(selectedPromises.map(promise => [promise, { runs: 0, events: 0, faults: 0, violations: 0 }]))
  const deadline = performance.now() + options.seconds * 1000
  const isDone = (round: number): boolean => options.runs === undefined ? performance.now() >= deadline : round >= options.runs
  let shown = 0
  for (let round = 0; !isDone(round); round += 1) {
    for (const world of worlds) {
      const seed = options.seed + round
      const outcome = await runOnce(world, seed, new Set(FAULT_KINDS), options.broken)
      addOutcome(totals, world, outcome)
      for (const violation of outcome.recorder.violations.slice(0, 1)) {
        if (shown >= MAX_SHOWN_VIOLATIONS) break
        shown += 1
        if (options.stopAtFirstViolation === true) {
          print(`violation of ${violation.promise} in world ${world.name}: seed ${seed}, event ${violation.event}`)
          return 1
        }
        await reportMinimalViolation(world, seed, violation, options.broken, print)
      }
    }
  }
  return printTotals(totals, print)
}

async function runOnce (world: WorldFactory, seed: number, kinds: ReadonlySet<FaultKind>, broken: PromiseName | undefined): Promise<RunOutcome> {
  const simulation = new Simulation(seed, kinds)
  const recorder = new CheckRecorder(() => simulation.executedEvents)
  const onFailure = (error: unknown): void => {
    if (!(error instanceof InvariantViolation)) throw error
    // An invariant inside the product failed before a check did. Its name is that of a promise, or of an intermediate condition that the first promise of the world depends on.
    const promise = PROMISES.find(name => name === error.invariant) ?? world.promises[0]
    if (promise !== undefined) recorder.check(promise, false, () => error.message)
  }
  // Nothing awaits the background tasks, so their errors arrive as unhandled rejections.
  process.on('unhandledRejection', onFailure)
  try {
    await world.create(simulation, recorder, broken).run()
  } catch (error) {
    onFailure(error)
  } finally {
    process.off('unhandledRejection', onFailure)
  }
  return { recorder, simulation }
}

function addOutcome (totals: ReadonlyMap<PromiseName, PromiseTotals>, world: WorldFactory, { recorder, simulation }: RunOutcome): void {
  for (const promise of world.promises) {
    const total = totals.get(promise)
    if (total === undefined) continue
    total.runs += 1
    total.events += recorder.checks.get(promise) ?? 0
    total.faults += simulation.faultCount
  }
  for (const { promise } of recorder.violations) {
    const total = totals.get(promise)
    if (total !== undefined) total.violations += 1
  }
}

/** Removes fault kinds one by one while the same seed still violates the promise, and prints the last events before the violation. */
async function reportMinimalViolation (world: WorldFactory, seed: number, first: Violation, broken: PromiseName | undefined, print: (line: string) => void): Promise<void> {
  let kinds = new Set<FaultKind>(FAULT_KINDS)
  let minimalOutcome = await runOnce(world, seed, kinds, broken)
  for (const kind of FAULT_KINDS) {
    const reducedKinds = new Set([...kinds].filter(other => other !== kind))
    const outcome = await runOnce(world, seed, reducedKinds, broken)
    if (!outcome.recorder.violations.some(violation => violation.promise === first.promise)) continue
    kinds = reducedKinds
    minimalOutcome = outcome
  }
  const violation = minimalOutcome.recorder.violations.find(candidate => candidate.promise === first.promise) ?? first
  print(`violation of ${violation.promise} in world ${world.name}: seed ${seed}, event ${violation.event}, faults needed: ${[...kinds].join(', ') || 'none'}`)
  print(`  ${violation.detail}`)
  const eventsUpToViolation = minimalOutcome.simulation.trace.filter(line => Number(/event (\d+)/.exec(line)?.[1] ?? 0) <= violation.event)
  for (const line of eventsUpToViolation.slice(-12)) print(`    ${line}`)
}

function printTotals (totals: ReadonlyMap<PromiseName, PromiseTotals>, print: (line: string) => void): number {
  let allHeld = true
  for (const [promise, { runs, events, faults, violations }] of totals) {
    const remark = events === 0 ? ' not proved: no events' : ''
    if (events === 0 || violations > 0) allHeld = false
    print(`promise ${promise}: runs ${runs} events ${events} faults ${faults} violations ${violations}${remark}`)
  }
  return allHeld ? 0 : 1
}
