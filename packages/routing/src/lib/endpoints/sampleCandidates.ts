/**
 * Which endpoints of a large service one request looks at.
 *
 * Answers the load of many hosts before many engines. All hosts learn of the same
 * least busy engine at the same time, and in the tenth of a second until they learn
 * of each other's sends, 73 hosts send it dozens of requests. Each request that
 * looks at a few drawn by chance takes the best of those, which spreads the same
 * sends over as many engines (the known result on choices with stale load). Engines
 * that hold the prompt are always looked at.
 */
import { mix32 } from '../prompts/homeEndpoint.js'

/** Candidates up to which all are looked at, in today's small deployments: 13 engines, 8 hosts. */
const UNSAMPLED_LIMIT = 16

/** Candidates drawn from more: enough that the best of them is among the least busy tenth most of the time. */
const SAMPLE_SIZE = 8

const RANDOM_RANGE = 2 ** 32

/**
 * @param candidates - all that may be chosen
 * @param random - number in [0, 1)
 * @param isRequired - whether a candidate is looked at in any case
 * @returns those to look at, each once
 */
export function sampleCandidates<Candidate> (
  candidates: readonly Candidate[], random: number, isRequired: (candidate: Candidate) => boolean
): readonly Candidate[] {
  if (candidates.length <= UNSAMPLED_LIMIT) return candidates
  const sampled = new Set(candidates.filter(isRequired))
  const seed = Math.floor(random * RANDOM_RANGE)
  for (let draw = 1; draw <= SAMPLE_SIZE; draw += 1) {
    const drawn = candidates[mix32(seed + Math.imul(draw, 0x9e3779b1)) % candidates.length]
    if (drawn !== undefined) sampled.add(drawn)
  }
  return [...sampled]
}
