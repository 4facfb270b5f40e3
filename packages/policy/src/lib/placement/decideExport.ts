/** Decides whether the blocks of a finished run are exported to a store. */

import type { PlacementWeights } from './placementTypes.js'

/** What is known when a run ends. */
export interface KeepRequest {
  readonly keep: 'never' | 'by-value' | 'always'
  /** Share of prompts of this class expected to return, 0 to 1. */
  readonly returnChance: number
  readonly expectedGapSeconds: number
  /** How long a block stays in the engine's own cache at its present turnover, in seconds; undefined if not known yet. */
  readonly residenceSeconds: number | undefined
  /** Blocks that no store holds yet. */
  readonly missingTokens: number
  readonly missingBytes: number
  readonly prefillTokensPerMs: number
  readonly weights: PlacementWeights
  /** Share of the link's time already taken by imports, 0 to 1. */
  readonly linkUtilization: number
}

const BYTES_PER_KILOBYTE = 1024

/** Below this many tokens an object costs more upkeep than it saves. */
const LEAST_TOKENS = 64

/** A block counts as resident until its return if it stays this many times the expected gap. */
const RESIDENCE_MARGIN = 2

/** A link busier than this is left to imports. */
const BUSY_LINK = 0.8

/** Why an export is made or not; also the metric label. */
export type KeepDecision = 'export' | 'nothing-missing' | 'profile-never' | 'stays-resident' | 'link-busy' | 'not-worth-link'

/**
 * @param request - the run and its surroundings
 * @returns the decision
 */
export function decideExport (request: KeepRequest): KeepDecision {
  if (request.keep === 'never') return 'profile-never'
  if (request.missingTokens < LEAST_TOKENS) return 'nothing-missing'
  if (request.keep === 'always') return 'export'
  const { residenceSeconds, expectedGapSeconds } = request
  if (residenceSeconds !== undefined && residenceSeconds > RESIDENCE_MARGIN * expectedGapSeconds) return 'stays-resident'
  if (request.linkUtilization > BUSY_LINK) return 'link-busy'
  const { weights, missingTokens, returnChance } = request
  const computing = weights.recomputedToken * missingTokens +
    weights.firstTokenMillisecond * missingTokens / request.prefillTokensPerMs
  // The blocks cross the link once now and once more if the prompt returns.
  const crossing = (1 + returnChance) * weights.linkKilobyte * request.missingBytes / BYTES_PER_KILOBYTE
  return returnChance * computing > crossing ? 'export' : 'not-worth-link'
}
