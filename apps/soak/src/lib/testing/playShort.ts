/** Short runs of the soak for tests. */
import type { LoadFeature } from '@eelgrassmux/routing/features/LoadFeatures'
import { FAULT_KINDS, type FaultKind } from '../faultPlan.js'
import { runSoak, type SoakBreak, type SoakResult } from '../runSoak.js'

/** The runs start real processes on processors that may be busy; only a hang takes this long. */
export const TIMEOUT_MS = 240_000

/** What is played, with the seed 1. */
export interface ShortRun {
  readonly seconds: number
  readonly breaks?: readonly SoakBreak[]
  readonly kinds?: readonly FaultKind[]
  readonly recoveryMs?: number
  readonly poisonRequests?: number
  readonly poisonParts?: number
  readonly loadFeatures?: readonly LoadFeature[]
}

/**
 * @param run - what is played
 * @returns the result
 */
export async function play ({ seconds, breaks = [], kinds = FAULT_KINDS, recoveryMs = 60_000, poisonRequests = 0, poisonParts = 0, loadFeatures = [] }: ShortRun): Promise<SoakResult> {
  const shape = { controls: 3, entries: 4, plainEndpoints: 3, engines: 3 }
  return await runSoak({ seed: 1, seconds, breaks, kinds, recoveryMs, shape, callers: 32, graceMs: 8000, poisonRequests, poisonParts, loadFeatures })
}

/**
 * @param result - result of a run
 * @returns its violations, log files and timeline, for the message of a failed test
 */
export function describeRun ({ violations, timeline, logFiles }: SoakResult): string {
  return [...violations.map(({ guarantee, detail }) => `${guarantee}: ${detail}`), ...logFiles, ...timeline].join('\n')
}
