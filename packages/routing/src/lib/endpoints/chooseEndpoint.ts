/**
 * Where a request goes.
 *
 * Answers the load pattern of prompts that return: a long shared beginning that
 * some engine has read already, and a short new end. Reading is what engines are
 * short of, so the estimate weighs tokens to read against work that waits. The
 * home of a shared part is the same on all hosts, so they agree without talking;
 * a home that is busier than the reading is worth loses the request to another.
 */
import { homeEndpoint } from '../prompts/homeEndpoint.js'
import { sharedPartOf } from '../prompts/promptDescription.js'
import type { PromptHolders, PromptResidencyTracker } from '../prompts/PromptResidencyTracker.js'
import { candidatesFor, type Candidate } from './candidates.js'
import type { EndpointQuery, EndpointChoice, NoEndpointReason, PromptQuery } from './endpointQuery.js'
import type { EndpointState } from './EndpointState.js'
import { estimateEndpoint } from './estimateEndpoint.js'
import { sample } from './sample.js'

/** Costs within this of the least count as equal, so that hosts with the same view do not all choose the same; in milliseconds. */
const TIE_MS = 1

/**
 * Chooses among the endpoints of one service.
 *
 * @param endpoints - all of the service
 * @param ask - what is asked
 * @param memory - what engines probably hold
 * @param now - monotonic milliseconds
 * @param random - number in [0, 1) that breaks ties
 * @returns the choice, or why there is none
 */
export function chooseEndpoint (
  endpoints: readonly EndpointState[], ask: EndpointQuery, memory: PromptResidencyTracker, now: number, random: number
): EndpointChoice | NoEndpointReason {
  const candidates = candidatesFor(endpoints, ask, now)
  if (typeof candidates === 'string') return candidates
  const home = homeOf(candidates, ask)
  const holders = new Map<number, PromptHolders>()
  const looked = sample(candidates, random, ({ endpoint }) =>
    endpoint.id === home || (holdersFor(endpoint, ask.prompt, memory, holders, now)?.tokensAt(endpoint.incarnation) ?? 0) > 0)
  const choices = looked.map(candidate =>
    estimateEndpoint(candidate, ask, candidate.endpoint.id === home, holdersFor(candidate.endpoint, ask.prompt, memory, holders, now), now))
  const chosen = leastOf(choices, random)
  if (chosen === undefined) return 'none-listed'
  return beginsInTime(chosen, ask.prompt) ? chosen : 'none-of-version'
}

function leastOf (choices: readonly EndpointChoice[], random: number): EndpointChoice | undefined {
  const least = Math.min(...choices.map(choice => choice.costMs))
  const ties = choices.filter(choice => choice.costMs <= least + TIE_MS)
  return ties[Math.floor(random * ties.length)]
}

/** Whether a request that falls back to older weights, or goes on under them, will begin while that is allowed. */
function beginsInTime ({ version, estimatedMs }: EndpointChoice, prompt: PromptQuery | undefined): boolean {
  if (prompt === undefined || version === undefined) return true
  return version >= prompt.desiredVersion || estimatedMs < prompt.remainingMsOn(version)
}

function homeOf (candidates: readonly Candidate[], { prompt, homeEndpoint: findHome = homeEndpoint }: EndpointQuery): string | undefined {
  const shared = prompt === undefined ? undefined : sharedPartOf(prompt.description)
  return shared === undefined ? undefined : findHome(shared.id, candidates.map(({ endpoint }) => endpoint.id))
}

/** Looked up once for each version of the weights, whatever the number of engines. */
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
