/** Runs that once broke a guarantee, each with its cause. They are repeated before all other runs. */
import type { FaultKind } from './faultPlan.js'

/** A run that once broke a guarantee. */
export interface RegressionSeed {
  readonly seed: number
  readonly seconds: number
  readonly entries: number
  readonly callers: number
  /** Kinds of faults to choose from; `FAULT_KINDS` if absent. */
  readonly kinds?: readonly FaultKind[]
  /** Why the run failed, in one line. */
  readonly cause: string
}

export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 100,
    seconds: 15,
    entries: 8,
    callers: 64,
    kinds: ['rolling-stop'],
    cause: 'an entry host accepted streams more than 3 s after SIGTERM that lasted longer than the rest of its grace period'
  },
  {
    seed: 203,
    seconds: 12,
    entries: 4,
    callers: 32,
    cause: 'an entry host exited with an unhandled error: it wrote a refusal into a stream that had started, because no other endpoint was left to resume the stream'
  },
  {
    seed: 302,
    seconds: 12,
    entries: 6,
    callers: 40,
    cause: 'an entry host abandoned a resumable stream of a slow endpoint because of its silence, although the retry budget allowed no attempt on another endpoint'
  },
  {
    seed: 211,
    seconds: 12,
    entries: 4,
    callers: 32,
    cause: 'an entry host moved a resumable stream from a slow engine to another one, which then rejected it, and no third engine had the same weights'
  },
  {
    seed: 219,
    seconds: 12,
    entries: 4,
    callers: 32,
    cause: 'an entry host that was paused after SIGTERM restarted its wait for a quiet period and accepted work until one second before the end of its grace period'
  }
]
