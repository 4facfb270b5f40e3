/**
 * Selects the endpoints of a large service that one request considers.
 *
 * All hosts learn of the same least busy engine at the same time. In the tenth of a second
 * until they learn of each other's sends, 73 hosts would send it dozens of requests. When
 * each request takes the best of a few engines drawn at random, the same sends spread over
 * as many engines (a known result for load balancing with stale load information). Engines
 * that hold the prompt are always considered.
 */
import { mix32 } from '../prompts/homeEndpoint.js'

/** Number of candidates up to which all are considered; small deployments have 13 engines and 8 hosts. */
const UNSAMPLED_LIMIT = 16

/** Candidates drawn from a larger number: enough that the best of them is usually among the least busy tenth. */
const SAMPLE_SIZE = 8

const RANDOM_RANGE = 2 ** 32

/**
 * @param candidates - all endpoints that may be chosen
 * @param random - number in [0, 1)
 * @param isRequired - whether a candidate is always part of the sample
 * @returns candidates to consider, each once
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
