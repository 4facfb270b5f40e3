/**
 * Where a request goes.
 *
 * Answers the load pattern of prompts that return: a long shared beginning that
 * some engine has read already, and a short new end. Reading is what engines are
 * short of, so the estimate weighs tokens to read against work that waits. The
 * home of a shared part is the same on all hosts, so they agree without talking;
 * a home that is busier than the reading is worth loses the request to another.
 */
import type { OthersWork } from '../load/OthersWork.js'
import type { EndpointState } from './EndpointState.js'
import { homeEndpoint } from '../prompts/homeEndpoint.js'
import { sharedPartOf, type PromptDescription } from '../prompts/promptDescription.js'
import type { PromptMemory } from '../prompts/PromptMemory.js'

/** What is asked of an endpoint. */
export interface EndpointAsk {
  /** Endpoints that this request was sent to already. */
  readonly excluded: ReadonlySet<string>
  /** Data centre of this host; bytes between data centres cost. */
  readonly dataCentre: string
  /** What the other entry hosts have under way; undefined while that is not known. */
  readonly others: OthersWork | undefined
  readonly prompt?: PromptAsk
}

/** A prompt, and what engines keep of it. */
export interface PromptAsk {
  readonly description: PromptDescription
  /** Weights that engines should run; older ones are taken only if nothing else is there. */
  readonly desiredVersion: number
  /** Tokens that fit into an engine's memory; 0 if that is not stated. */
  readonly memoryTokens: number
  /** Set when the request must go on under the weights it began with. */
  readonly requiredVersion: number | undefined
  /** Cache salt under a version. */
  scope (version: number): string
  /** Where the shared parts are stored under a version. */
  stored (version: number): StoredBeginning
}

/** The beginning of a prompt that stores hold. */
export interface StoredBeginning {
  readonly storedTokens: number
  readonly firstByteMs: number
  readonly tokenMs: number
}

/** A chosen endpoint. */
export interface EndpointChoice {
  readonly endpoint: EndpointState
  /** Weights it is believed to hold; undefined for plain services. */
  readonly version: number | undefined
  /** Prompt tokens that it will probably have to read. */
  readonly tokensToRead: number
  /** Tokens that it will hold in the endpoint's memory. */
  readonly tokensHeld: number
  readonly estimatedMs: number
}

/** Why no endpoint was chosen. */
export type NoEndpointReason = 'none-listed' | 'all-tried' | 'none-of-version'

/** Prompt tokens that an engine reads in a millisecond, before anything was measured: between the two users' 92 and 140. */
const READ_TOKENS_PER_MS = 110

/** What a running request adds to the time to the first event of the next, in milliseconds: steps of a batch interleave with reading. */
const RUNNING_MS = 6

/** Share of the most output tokens that a request has on average: callers' own estimates are about half of it. */
const EXPECTED_OUTPUT_SHARE = 0.5

/** Share of an engine's memory that running requests fill without waiting; blocks round up, and outputs differ. */
const MEMORY_SHARE = 0.85

/** Time in which an engine's running requests all end once, in milliseconds: some 40 tokens at 10 ms and their reading. */
const MEMORY_TURNOVER_MS = 800

/** What a waiting request adds, in milliseconds: about the reading of an average prompt. */
const WAITING_MS = 40

/** Chance that the home of a part holds it although this host has not sent it there: other hosts have. */
const HOME_CHANCE = 0.6

/** What any fetch costs beside its bytes, in milliseconds: its place on the links, and its price. */
const FETCH_MS = 3

/** Mean time of a plain answer before one was seen, in milliseconds. */
const PLAIN_MS = 20

/** What another data centre costs against the own one, in milliseconds: half a millisecond each way, and its price. */
const OTHER_DATA_CENTRE_MS = 2

/** What an endpoint with a share of failures costs, in milliseconds for all requests failing. */
const FAILURE_MS = 400

/** Estimates within this of the best count as equal, so that hosts with the same view do not all choose the same; in milliseconds. */
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
  endpoints: readonly EndpointState[], ask: EndpointAsk, memory: PromptMemory, now: number, random: number
): EndpointChoice | NoEndpointReason {
  const present = endpoints.filter(endpoint => !endpoint.isLeaving)
  if (present.length === 0) return 'none-listed'
  const untried = present.filter(endpoint => !ask.excluded.has(endpoint.id))
  if (untried.length === 0) return 'all-tried'
  const able = ofVersion(untried, ask.prompt)
  if (able.length === 0) return 'none-of-version'
  const candidates = preferred(able, now)
  const home = homeOf(candidates, ask.prompt)
  const choices = candidates.map(endpoint => estimate(endpoint, ask, home, memory, now))
  const least = Math.min(...choices.map(choice => choice.estimatedMs))
  const ties = choices.filter(choice => choice.estimatedMs <= least + TIE_MS)
  return ties[Math.floor(random * ties.length)] ?? 'none-listed'
}

/** The newest weights that may be used; a request that began under a version goes on under it. */
function ofVersion (endpoints: readonly EndpointState[], prompt: PromptAsk | undefined): readonly EndpointState[] {
  if (prompt === undefined) return endpoints
  const { model } = prompt.description
  const serving = endpoints.filter(endpoint => endpoint.version(model) !== undefined)
  if (prompt.requiredVersion !== undefined) return serving.filter(endpoint => endpoint.version(model) === prompt.requiredVersion)
  const desired = serving.filter(endpoint => (endpoint.version(model) ?? 0) >= prompt.desiredVersion)
  return desired.length > 0 ? desired : serving
}

/** Healthy endpoints with room; else any that are healthy, else any. */
function preferred (endpoints: readonly EndpointState[], now: number): readonly EndpointState[] {
  const healthy = endpoints.filter(endpoint => !endpoint.health.isPaused(now))
  const able = healthy.length > 0 ? healthy : endpoints
  const idle = able.filter(endpoint => !endpoint.isBusy(now))
  const awake = idle.length > 0 ? idle : able
  const withRoom = awake.filter(endpoint => !endpoint.isFull(now))
  return withRoom.length > 0 ? withRoom : awake
}

function homeOf (candidates: readonly EndpointState[], prompt: PromptAsk | undefined): string | undefined {
  const shared = prompt === undefined ? undefined : sharedPartOf(prompt.description)
  return shared === undefined ? undefined : homeEndpoint(shared.id, candidates.map(endpoint => endpoint.id))
}

function estimate (
  endpoint: EndpointState, ask: EndpointAsk, home: string | undefined, memory: PromptMemory, now: number
): EndpointChoice {
  const distanceMs = endpoint.listed.dataCentre === ask.dataCentre ? 0 : OTHER_DATA_CENTRE_MS
  const fixedMs = distanceMs + endpoint.health.failureShare * FAILURE_MS
  if (ask.prompt === undefined) {
    const estimatedMs = fixedMs + plainMs(endpoint, ask, now)
    return { endpoint, version: undefined, tokensToRead: 0, tokensHeld: 0, estimatedMs }
  }
  const { description } = ask.prompt
  const version = endpoint.version(description.model) ?? 0
  const { tokensToRead, fetchMs } = estimateReading(endpoint, ask.prompt, version, home, memory, now)
  const tokensHeld = description.promptTokens + description.outputTokens * EXPECTED_OUTPUT_SHARE
  const waitMs = engineWaitMs(endpoint, ask, ask.prompt, tokensHeld, now)
  return { endpoint, version, tokensToRead, tokensHeld, estimatedMs: fixedMs + waitMs + fetchMs + tokensToRead / READ_TOKENS_PER_MS }
}

function plainMs (endpoint: EndpointState, ask: EndpointAsk, now: number): number {
  const { total, slots } = endpoint.occupancy(now)
  const requests = ask.others === undefined ? total : endpoint.inFlight + ask.others.at(endpoint.id).inFlight
  const serviceMs = endpoint.latencyMs ?? PLAIN_MS
  // Endpoints slow down when they are nearly full, so fewer requests are better also while there are free slots.
  return serviceMs * Math.max(1, (requests + 1) / Math.max(1, slots)) + requests
}

function estimateReading (
  endpoint: EndpointState, prompt: PromptAsk, version: number, home: string | undefined, memory: PromptMemory, now: number
): { readonly tokensToRead: number, readonly fetchMs: number } {
  const { description } = prompt
  const shared = description.parts.slice(0, -1)
  const known = memory.heldTokens(prompt.scope(version), shared, endpoint.id, now)
  const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0)
  const held = endpoint.id === home ? Math.max(known, sharedTokens * HOME_CHANCE) : known
  const stored = prompt.stored(version)
  const tokensToFetch = Math.max(0, stored.storedTokens - held)
  return {
    tokensToRead: Math.max(0, description.promptTokens - Math.max(held, stored.storedTokens)),
    fetchMs: tokensToFetch === 0 ? 0 : stored.firstByteMs + tokensToFetch * stored.tokenMs + FETCH_MS
  }
}

/** Reading goes on in turn, running requests slow every step, and a request that does not fit into memory waits for others to end. */
function engineWaitMs (endpoint: EndpointState, ask: EndpointAsk, prompt: PromptAsk, tokensHeld: number, now: number): number {
  if (ask.others === undefined) {
    const { total, waiting } = endpoint.occupancy(now)
    return waiting * WAITING_MS + (total - waiting) * RUNNING_MS + endpoint.pendingTokens / READ_TOKENS_PER_MS
  }
  const others = ask.others.at(endpoint.id)
  const readingMs = (endpoint.pendingTokens + others.pendingTokens) / READ_TOKENS_PER_MS
  const requests = endpoint.inFlight + others.inFlight
  const held = endpoint.work.heldTokens + others.heldTokens + tokensHeld
  const excess = prompt.memoryTokens === 0 ? 0 : Math.max(0, held / prompt.memoryTokens - MEMORY_SHARE)
  return readingMs + requests * RUNNING_MS + excess * MEMORY_TURNOVER_MS
}
