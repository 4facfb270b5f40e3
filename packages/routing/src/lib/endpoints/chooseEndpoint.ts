/**
 * Chooses the endpoint that gets a request.
 *
 * Prompts often share a long prefix that some engine has read already, and end in a
 * short new part. Prefill is the scarce resource of engines, so the estimate weighs
 * the tokens to prefill against the work that waits. All hosts compute the same home
 * endpoint for a shared part, so they agree without communication. When the home is
 * so busy that prefilling elsewhere costs less, the request goes to another endpoint.
 */
import { homeEndpoint } from '../prompts/homeEndpoint.js'
import { sharedPartOf } from '../prompts/promptDescription.js'
import type { PromptHolders, PromptResidencyTracker } from '../prompts/PromptResidencyTracker.js'
import { candidatesFor, type Candidate } from './candidates.js'
import type { EndpointQuery, EndpointChoice, NoEndpointReason, PromptQuery } from './endpointQuery.js'
import type { EndpointState } from './EndpointState.js'
import { estimateEndpoint } from './estimateEndpoint.js'
import { sampleCandidates } from './sampleCandidates.js'

/** Costs within this of the lowest, in milliseconds, count as equal, so that hosts with the same view do not all choose the same endpoint. */
const COST_TIE_MS = 1

/**
 * Expected number of streams from which a request counts as pushing running streams over their longest pause. It is low,
 * because a pause that is too long makes a whole stream late, while a long prompt that waits for 40 ms is still on time.
 */
const MIN_DELAYED_STREAMS = 0.02

/**
 * Cost of waiting until running streams are no longer delayed, in milliseconds: one retry of a placement. Endpoints
 * that cost more than this above the best one are no alternative to waiting; mostly they would have to prefill a shared part again.
 */
const WAIT_COST_MS = 40

/**
 * Chooses among the endpoints of one service.
 *
 * @param endpoints - all endpoints of the service
 * @param query - requirements of the request
 * @param memory - which engines probably hold which prompts
 * @param now - monotonic milliseconds
 * @param random - number in [0, 1) that selects the sample and breaks ties
 * @returns the choice, or the reason why there is none
 */
export function chooseEndpoint (
  endpoints: readonly EndpointState[], query: EndpointQuery, memory: PromptResidencyTracker, now: number, random: number
): EndpointChoice | NoEndpointReason {
  const candidates = candidatesFor(endpoints, query, now)
  if (typeof candidates === 'string') return candidates
  const home = findHomeId(candidates, query)
  const holders = new Map<number, PromptHolders>()
  const sampled = sampleCandidates(candidates, random, ({ endpoint }) =>
    endpoint.id === home || (holdersFor(endpoint, query.prompt, memory, holders, now)?.tokensAt(endpoint.incarnation) ?? 0) > 0)
  const choices = sampled.map(candidate =>
    estimateEndpoint(candidate, query, candidate.endpoint.id === home, holdersFor(candidate.endpoint, query.prompt, memory, holders, now), now))
  const chosen = pickCheapest(choices, random)
  if (chosen === undefined) return 'none-listed'
  if (!startsInTime(chosen, query.prompt)) return 'none-of-version'
  const alternatives = choices.filter(({ costMs }) => costMs <= chosen.costMs + WAIT_COST_MS)
  return alternatives.every(({ delayedStreams = 0 }) => delayedStreams >= MIN_DELAYED_STREAMS) ? { ...chosen, delaysStreamsEverywhere: true } : chosen
}

/** An endpoint whose cost can't be computed is used only if there is no other. */
function pickCheapest (choices: readonly EndpointChoice[], random: number): EndpointChoice | undefined {
  const known = choices.filter(choice => Number.isFinite(choice.costMs))
  const least = Math.min(...known.map(choice => choice.costMs))
  const ties = known.length === 0 ? choices : known.filter(choice => choice.costMs <= least + COST_TIE_MS)
  return ties[Math.floor(random * ties.length)]
}

/** Returns whether a request that falls back to older weights, or continues on them, will start while they may still be used. */
function startsInTime ({ version, estimatedMs }: EndpointChoice, prompt: PromptQuery | undefined): boolean {
  if (prompt === undefined || version === undefined) return true
  return version >= prompt.desiredVersion || estimatedMs < prompt.remainingMsOn(version)
}

function findHomeId (candidates: readonly Candidate[], { prompt, homeEndpoint: findHome = homeEndpoint }: EndpointQuery): string | undefined {
  const shared = prompt === undefined ? undefined : sharedPartOf(prompt.description)
  return shared === undefined ? undefined : findHome(shared.id, candidates.map(({ endpoint }) => endpoint.id))
}

/** Looks the holders up once per version of the weights, whatever the number of engines. */
function holdersFor (
  endpoint: EndpointState, prompt: PromptQuery | undefined, memory: PromptResidencyTracker, known: Map<number, PromptHolders>, now: number
): PromptHolders | undefined {
  if (prompt === undefined) return undefined
  const version = endpoint.version(prompt.description.model) ?? 0
  const present = known.get(version)
  if (present !== undefined) return present
  const holders = memory.holders(prompt.scope(version), prompt.description.parts.slice(0, -1), now)
  known.set(version, holders)
  return holders
}
