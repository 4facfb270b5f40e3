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
import { NO_WORK, type WorkFigures } from '../load/loadReport.js'
import type { EndpointState } from './EndpointState.js'
import { sample } from './sample.js'
import { sharedFailureShare, ejectionReason } from './sharedSight.js'
import { homeEndpoint } from '../prompts/homeEndpoint.js'
import { sharedPartOf, type PromptDescription, type PromptPart } from '../prompts/promptDescription.js'
import type { PromptHolders, PromptMemory } from '../prompts/PromptMemory.js'
import type { StoreLinks } from '../stores/StoreLinks.js'
import type { StorePlan } from '../stores/StoredPartsIndex.js'

/** What is asked of an endpoint. */
export interface EndpointAsk {
  /** Endpoints that this request was sent to already. */
  readonly excluded: ReadonlySet<string>
  /** Data centre of this host; bytes between data centres cost. */
  readonly dataCentre: string
  /** What the other entry hosts have under way; undefined while that is not known. */
  readonly others: OthersWork | undefined
  /** Whether this host has an idle connection to an endpoint; a new one costs the endpoint time. */
  hasConnection? (endpoint: EndpointState): boolean
  readonly prompt?: PromptAsk
}

/** A prompt, and what engines keep of it. */
export interface PromptAsk {
  readonly description: PromptDescription
  /** Weights that engines should run; older ones are taken only if nothing else is there. */
  readonly desiredVersion: number
  /** Milliseconds within which the request may begin on weights of that version. */
  leftMsOn (version: number): number
  /** Tokens that fit into an engine's memory; 0 if that is not stated. */
  readonly memoryTokens: number
  /** Set when the request must go on under the weights it began with. */
  readonly requiredVersion: number | undefined
  /** Cache salt under a version. */
  scope (version: number): string
  /** Where the shared parts are stored under a version. */
  stored (version: number): StorePlan
  /** Work on the stores' links. */
  readonly links: StoreLinks
  readonly bytesPerToken: number
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
  /** Of the estimate, what other work and what fetching from stores takes. */
  readonly waitMs: number
  readonly fetchMs: number
  /** Prompt tokens that it has to read before, for all hosts. */
  readonly tokensAhead: number
  /** Share of the endpoint's memory that all requests there need with this one; 0 where that is not known. */
  readonly memoryShare: number
  /** The estimate as it would be at an endpoint that is neither slow nor fast. */
  readonly workMs: number
}

/** Why no endpoint was chosen. */
export type NoEndpointReason = 'none-listed' | 'all-tried' | 'none-of-version'

/**
 * Prompt tokens that an engine reads in a millisecond. The users' sheets say 92 and 140
 * for short prompts; first events of long ones, measured, came at 40 to 70.
 */
const READ_TOKENS_PER_MS = 80

/** Fixed time from an engine's start on a request to its first event, in milliseconds; the users' sheets say 53 and 60. */
const FIRST_EVENT_MS = 55

/** What a running request adds to the time to the first event of the next, in milliseconds: steps of a batch interleave with reading. */
const RUNNING_MS = 6

/** Share of the most output tokens that a request has on average: callers' own estimates are about half of it. */
const EXPECTED_OUTPUT_SHARE = 0.5

/** Share of an engine's memory that running requests fill without anybody waiting: what is kept of earlier prompts yields, but others arrive meanwhile. */
const MEMORY_SHARE = 0.6

/** Time in which an engine's running requests all end once, in milliseconds: some 40 tokens at 10 ms and their reading. */
const MEMORY_TURNOVER_MS = 800

/** What a waiting request adds, in milliseconds: about the reading of an average prompt. */
const WAITING_MS = 40

/** Chance that the home of a part holds it although this host has not sent it there: other hosts have. */
const HOME_CHANCE = 0.6

/**
 * What reading a shared token again costs beyond its time, in milliseconds. Work that
 * was done once is not to be paid for again: it is weighed at twice the reading itself.
 */
const READ_AGAIN_MS_PER_TOKEN = 0.02

/** What any fetch costs beside its bytes, in milliseconds: its place on the links, and its price. */
const FETCH_MS = 3

/** Mean time of a plain answer before one was seen, in milliseconds. */
const PLAIN_MS = 20

/** What another data centre costs against the own one, in milliseconds: half a millisecond each way, and its price. */
const OTHER_DATA_CENTRE_MS = 2

/**
 * What a new connection costs, in milliseconds: two round trips and the endpoint's
 * own millisecond, and the users' price of one, a twentieth of what a request is worth.
 */
const NEW_CONNECTION_MS = 5

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
  const candidates = preferred(able.map(endpoint => sightOf(endpoint, ask, now)), now)
  const home = homeOf(candidates, ask.prompt)
  const holders = new Map<number, PromptHolders>()
  const looked = sample(candidates, random, ({ endpoint }) =>
    endpoint.id === home || (holdersFor(endpoint, ask.prompt, memory, holders, now)?.tokensAt(endpoint.incarnation) ?? 0) > 0)
  const choices = looked.map(sight => estimate(sight, ask, home, holdersFor(sight.endpoint, ask.prompt, memory, holders, now), now))
  const least = Math.min(...choices.map(choice => choice.estimatedMs))
  const ties = choices.filter(choice => choice.estimatedMs <= least + TIE_MS)
  const chosen = ties[Math.floor(random * ties.length)]
  if (chosen === undefined) return 'none-listed'
  return beginsInTime(chosen, ask.prompt) ? chosen : 'none-of-version'
}

/** Whether a request that falls back to older weights will begin while that is allowed. */
function beginsInTime ({ version, estimatedMs }: EndpointChoice, prompt: PromptAsk | undefined): boolean {
  if (prompt === undefined || prompt.requiredVersion !== undefined || version === undefined) return true
  return version >= prompt.desiredVersion || estimatedMs < prompt.leftMsOn(version)
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

/** An endpoint with what other hosts have told of it. */
interface Sight {
  readonly endpoint: EndpointState
  readonly others: WorkFigures
  readonly failureShare: number
}

function sightOf (endpoint: EndpointState, ask: EndpointAsk, now: number): Sight {
  const others = ask.others?.at(endpoint.incarnation) ?? NO_WORK
  return { endpoint, others, failureShare: sharedFailureShare(endpoint, others, now) }
}

/** Healthy endpoints with room; else any that are healthy, else any. */
function preferred (sights: readonly Sight[], now: number): readonly Sight[] {
  const meanShare = sights.reduce((sum, sight) => sum + sight.failureShare, 0) / sights.length
  const healthy = sights.filter(sight => isHealthy(sight, meanShare, now))
  const able = healthy.length > 0 ? healthy : sights
  const idle = able.filter(({ endpoint }) => !endpoint.isBusy(now))
  const awake = idle.length > 0 ? idle : able
  const withRoom = awake.filter(({ endpoint }) => !endpoint.isFull(now))
  return withRoom.length > 0 ? withRoom : awake
}

function isHealthy ({ endpoint, others, failureShare }: Sight, meanShare: number, now: number): boolean {
  if (endpoint.health.isPaused(now) || endpoint.isSilent(now)) return false
  return ejectionReason(endpoint, others, failureShare - meanShare, now) === undefined
}

function homeOf (candidates: readonly Sight[], prompt: PromptAsk | undefined): string | undefined {
  const shared = prompt === undefined ? undefined : sharedPartOf(prompt.description)
  return shared === undefined ? undefined : homeEndpoint(shared.id, candidates.map(({ endpoint }) => endpoint.id))
}

/** Looked up once for each version of the weights, whatever the number of engines. */
function holdersFor (
  endpoint: EndpointState, prompt: PromptAsk | undefined, memory: PromptMemory, known: Map<number, PromptHolders>, now: number
): PromptHolders | undefined {
  if (prompt === undefined) return undefined
  const version = endpoint.version(prompt.description.model) ?? 0
  const present = known.get(version)
  if (present !== undefined) return present
  const holders = memory.holders(prompt.scope(version), prompt.description.parts.slice(0, -1), now)
  known.set(version, holders)
  return holders
}

function estimate (
  { endpoint, others, failureShare }: Sight, ask: EndpointAsk, home: string | undefined, holders: PromptHolders | undefined, now: number
): EndpointChoice {
  const distanceMs = endpoint.listed.dataCentre === ask.dataCentre ? 0 : OTHER_DATA_CENTRE_MS
  const connectionMs = ask.hasConnection?.(endpoint) === false ? NEW_CONNECTION_MS : 0
  const fixedMs = distanceMs + connectionMs + failureShare * FAILURE_MS
  if (ask.prompt === undefined || holders === undefined) {
    const estimatedMs = fixedMs + plainMs(endpoint, ask, others, now)
    return { endpoint, version: undefined, tokensToRead: 0, tokensHeld: 0, estimatedMs, waitMs: estimatedMs, fetchMs: 0, workMs: estimatedMs, tokensAhead: 0, memoryShare: 0 }
  }
  const { description } = ask.prompt
  const version = endpoint.version(description.model) ?? 0
  const { tokensToRead, fetchMs, againMs } = estimateReading(endpoint, ask.prompt, version, home, holders, now)
  const tokensHeld = description.promptTokens + description.outputTokens * EXPECTED_OUTPUT_SHARE
  const share = memoryShare(endpoint, others, ask.prompt, tokensHeld)
  const waitMs = engineWaitMs(endpoint, ask, others, share, now)
  const workMs = FIRST_EVENT_MS + waitMs + fetchMs + tokensToRead / READ_TOKENS_PER_MS
  const estimatedMs = fixedMs + againMs + workMs * endpoint.slowness.factor(now)
  const tokensAhead = endpoint.pendingTokens + others.pendingTokens
  return { endpoint, version, tokensToRead, tokensHeld, estimatedMs, waitMs, fetchMs, workMs, tokensAhead, memoryShare: share }
}

function plainMs (endpoint: EndpointState, ask: EndpointAsk, others: WorkFigures, now: number): number {
  const { total, slots } = endpoint.occupancy(now)
  const requests = ask.others === undefined ? total : endpoint.inFlight + others.inFlight
  const serviceMs = endpoint.latencyMs ?? PLAIN_MS
  // Endpoints slow down when they are nearly full, so fewer requests are better also while there are free slots.
  return serviceMs * Math.max(1, (requests + 1) / Math.max(1, slots)) + requests
}

function estimateReading (
  endpoint: EndpointState, prompt: PromptAsk, version: number, home: string | undefined, holders: PromptHolders, now: number
): { readonly tokensToRead: number, readonly fetchMs: number, readonly againMs: number } {
  const { description } = prompt
  const shared = description.parts.slice(0, -1)
  const known = holders.tokensAt(endpoint.incarnation)
  const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0)
  const { storedTokens, fetches } = prompt.stored(version)
  const held = endpoint.id === home ? Math.max(known, sharedTokens * HOME_CHANCE) : known
  const sharedToRead = Math.max(0, sharedTokens - Math.max(held, storedTokens))
  return {
    tokensToRead: Math.max(0, description.promptTokens - sharedTokens) + sharedToRead,
    fetchMs: fetchMs(endpoint, prompt, shared, fetches, held, now),
    againMs: holders.isHeldAnywhere ? sharedToRead * READ_AGAIN_MS_PER_TOKEN : 0
  }
}

/** Links work side by side, so the slowest decides; parts that the endpoint holds already are not fetched. */
function fetchMs (
  endpoint: EndpointState, prompt: PromptAsk, shared: readonly PromptPart[], fetches: StorePlan['fetches'], held: number, now: number
): number {
  let position = 0
  let slowestMs = 0
  shared.forEach((part, index) => {
    position += part.tokens
    const store = fetches[index]
    if (store === undefined || position <= held) return
    const bytes = part.tokens * prompt.bytesPerToken
    const transferMs = prompt.links.transferMs(store, bytes, endpoint.listed.dataCentre)
    slowestMs = Math.max(slowestMs, store.firstByteMs + prompt.links.backlogMs(store, now) + transferMs + FETCH_MS)
  })
  return slowestMs
}

/** Reading goes on in turn, running requests slow every step, and a request that does not fit into memory waits for others to end. */
function engineWaitMs (endpoint: EndpointState, ask: EndpointAsk, others: WorkFigures, memoryShare: number, now: number): number {
  if (ask.others === undefined) {
    const { total, waiting } = endpoint.occupancy(now)
    return waiting * WAITING_MS + (total - waiting) * RUNNING_MS + endpoint.pendingTokens / READ_TOKENS_PER_MS
  }
  const readingMs = (endpoint.pendingTokens + others.pendingTokens) / READ_TOKENS_PER_MS
  const requests = endpoint.inFlight + others.inFlight
  const excess = Math.max(0, memoryShare - MEMORY_SHARE)
  return readingMs + requests * RUNNING_MS + excess * MEMORY_TURNOVER_MS
}

function memoryShare (endpoint: EndpointState, others: WorkFigures, prompt: PromptAsk, tokensHeld: number): number {
  return prompt.memoryTokens === 0 ? 0 : (endpoint.heldTokens + others.heldTokens + tokensHeld) / prompt.memoryTokens
}
