/** Runs that failed once, played before all others; each with the cause. */
import type { FaultKind } from './faultPlan.js'

/** A run that once broke a promise. */
export interface RegressionSeed {
  readonly seed: number
  readonly seconds: number
  readonly entries: number
  readonly callers: number
  /** Faults to draw from; all if absent. */
  readonly kinds?: readonly FaultKind[]
  /** One line on why it failed. */
  readonly cause: string
}

export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  {
    seed: 100,
    seconds: 15,
    entries: 8,
    callers: 64,
    kinds: ['rolling-stop'],
    cause: 'an entry host took streams over 3 s after SIGTERM that lasted longer than the rest of its grace time'
  },
  {
    seed: 203,
    seconds: 12,
    entries: 4,
    callers: 32,
    cause: 'an entry host ended with an unhandled error: it wrote a refusal into a stream that had begun, because no other endpoint was left to resume it'
  },
  {
    seed: 302,
    seconds: 12,
    entries: 6,
    callers: 40,
    cause: 'a resumable stream of a slow endpoint was given up for its silence although the retry budget allowed no other endpoint'
  },
  {
    seed: 211,
    seconds: 12,
    entries: 4,
    callers: 32,
    cause: 'a resumable stream of a slow engine was left for another, which then rejected it, and no third held the same weights'
  },
  {
    seed: 219,
    seconds: 12,
    entries: 4,
    callers: 32,
    cause: 'an entry host that was paused after its SIGTERM began its wait for quiet anew and took work until a second before its grace time was over'
  }
]
