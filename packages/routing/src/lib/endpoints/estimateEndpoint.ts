/** What a request would take at an endpoint. */
import type { PromptHolders } from '../prompts/PromptResidencyTracker.js'
import type { LoadFigures } from '../load/loadReport.js'
import type { Candidate } from './candidates.js'
import type { EndpointQuery, EndpointChoice, PromptQuery } from './endpointQuery.js'
import type { EndpointState } from './EndpointState.js'
import type { EngineLoad } from './EngineModel.js'
import { planReading } from './planReading.js'
import { EMPTY_PREFILL_PLAN } from './prefillPlan.js'

/** Share of the most output tokens that a request has on average: callers' own estimates are about half of it. */
const EXPECTED_OUTPUT_SHARE = 0.5

/** Share of an engine's memory that running requests fill without anybody waiting: what is kept of earlier prompts yields, but others arrive meanwhile. */
const MEMORY_SHARE = 0.6

/** Time in which an engine's running requests all end once, in milliseconds: some 40 tokens at 10 ms and their reading. */
const MEMORY_TURNOVER_MS = 800

/** Of a request without a prompt. */
const NO_LOAD: EngineLoad = { tokensToRead: 0, tokensAhead: 0, requests: 0 }

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

/**
 * @param candidate - an endpoint
 * @param ask - what is asked
 * @param isHome - whether hosts send this shared part there by agreement
 * @param holders - which engines probably hold the prompt; undefined without one
 * @param now - monotonic milliseconds
 */
export function estimateEndpoint (
  { endpoint, others, failureShare }: Candidate, ask: EndpointQuery, isHome: boolean, holders: PromptHolders | undefined, now: number
): EndpointChoice {
  const distanceMs = endpoint.listed.dataCentre === ask.dataCentre ? 0 : OTHER_DATA_CENTRE_MS
  const connectionMs = ask.hasConnection?.(endpoint) === false ? NEW_CONNECTION_MS : 0
  const priceMs = distanceMs + connectionMs + failureShare * FAILURE_MS
  if (ask.prompt === undefined || holders === undefined) {
    const estimatedMs = plainMs(endpoint, ask, others, now)
    return { endpoint, version: undefined, prefill: EMPTY_PREFILL_PLAN, tokensHeld: 0, estimatedMs, costMs: estimatedMs + priceMs, waitMs: estimatedMs, memoryWaitMs: 0, workMs: estimatedMs, load: NO_LOAD, memoryShare: 0 }
  }
  const { description, engine } = ask.prompt
  const version = endpoint.version(description.model) ?? 0
  const tokensHeld = description.promptTokens + description.outputTokens * EXPECTED_OUTPUT_SHARE
  const share = memoryShare(endpoint, others, ask.prompt, tokensHeld)
  const ahead = { tokensAhead: endpoint.pendingTokens + others.pendingTokens, requests: requestsAt(endpoint, ask, others, now) }
  const memoryWaitMs = ask.others === undefined ? 0 : Math.max(0, share - MEMORY_SHARE) * MEMORY_TURNOVER_MS
  const waitMs = engine.waitMs(ahead) + memoryWaitMs
  const reading = planReading(endpoint, { ...ask.prompt, objectiveRemainingMs: ask.prompt.objectiveRemainingMs - engine.fixedMs - waitMs }, version, isHome, holders, now)
  const workMs = engine.fixedMs + waitMs + reading.fetchMs + engine.readMs(reading.tokensToRead)
  const estimatedMs = workMs * endpoint.slowness.factor(now)
  const costMs = estimatedMs + reading.againMs + priceMs
  const load = { ...ahead, tokensToRead: reading.tokensToRead }
  return { endpoint, version, prefill: reading, tokensHeld, estimatedMs, costMs, waitMs, memoryWaitMs, workMs, load, memoryShare: share }
}

function plainMs (endpoint: EndpointState, ask: EndpointQuery, others: LoadFigures, now: number): number {
  const { slots } = endpoint.occupancy(now)
  const requests = requestsAt(endpoint, ask, others, now)
  const serviceMs = endpoint.latencyMs ?? PLAIN_MS
  // Endpoints slow down when they are nearly full, so fewer requests are better also while there are free slots.
  return serviceMs * Math.max(1, (requests + 1) / Math.max(1, slots)) + requests
}

/** Requests there by all hosts' word, or by the endpoint's last one while the hosts' is not known. */
function requestsAt (endpoint: EndpointState, ask: EndpointQuery, others: LoadFigures, now: number): number {
  return ask.others === undefined ? endpoint.occupancy(now).total : endpoint.inFlight + others.inFlight
}

function memoryShare (endpoint: EndpointState, others: LoadFigures, prompt: PromptQuery, tokensHeld: number): number {
  return prompt.memoryTokens === 0 ? 0 : (endpoint.heldTokens + others.heldTokens + tokensHeld) / prompt.memoryTokens
}
