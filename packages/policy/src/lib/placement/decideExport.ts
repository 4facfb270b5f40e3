/** Decides whether the blocks of a finished run are exported to a store. */

import type { PlacementWeights } from './placementTypes.js'

/** What is known about a run when it ends. */
export interface ExportContext {
  readonly keep: 'never' | 'by-value' | 'always'
  /** Fraction of prompts of this class expected to return, 0 to 1. */
  readonly returnChance: number
  readonly expectedGapSeconds: number
  /** How long a block stays in the engine's own cache at the current turnover; undefined until it is known. */
  readonly residenceSeconds: number | undefined
  /** Tokens of the blocks that no store holds yet. */
  readonly missingTokens: number
  readonly missingBytes: number
  readonly prefillTokensPerMs: number
  readonly weights: PlacementWeights
  /** Fraction of the link's time that imports take, 0 to 1. */
  readonly linkUtilization: number
}

const BYTES_PER_KILOBYTE = 1024

/** A smaller object costs more overhead than it saves. */
const MIN_EXPORT_TOKENS = 64

/** A block counts as resident until its prompt returns if it stays for more than this multiple of the expected gap. */
const RESIDENCE_MARGIN = 2

/** Above this utilization the link is reserved for imports. */
const MAX_LINK_UTILIZATION = 0.8

/** Whether blocks are exported, and if not, why. Also used as a metric label. */
export type ExportDecision = 'export' | 'nothing-missing' | 'profile-never' | 'stays-resident' | 'link-busy' | 'not-worth-link'

/**
 * @param context - the run, its engine and the store's link
 * @returns the decision
 */
export function decideExport (context: ExportContext): ExportDecision {
  if (context.keep === 'never') return 'profile-never'
  if (context.missingTokens < MIN_EXPORT_TOKENS) return 'nothing-missing'
  if (context.keep === 'always') return 'export'
  const { residenceSeconds, expectedGapSeconds } = context
  if (residenceSeconds !== undefined && residenceSeconds > RESIDENCE_MARGIN * expectedGapSeconds) return 'stays-resident'
  if (context.linkUtilization > MAX_LINK_UTILIZATION) return 'link-busy'
  const { weights, missingTokens, returnChance } = context
  const recomputeCost = weights.recomputedToken * missingTokens +
    weights.firstTokenMillisecond * missingTokens / context.prefillTokensPerMs
  // The blocks are transferred once now, and once more if the prompt returns.
  const transferCost = (1 + returnChance) * weights.linkKilobyte * context.missingBytes / BYTES_PER_KILOBYTE
  return returnChance * recomputeCost > transferCost ? 'export' : 'not-worth-link'
}
