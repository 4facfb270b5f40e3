/** Estimates the time and cost of a request at an endpoint. */
import type { PromptHolders } from '../prompts/PromptResidencyTracker.js'
import type { LoadFigures } from '../load/loadReport.js'
import { endpointTrafficCostMs } from '../places/dataCentreTraffic.js'
import type { Candidate } from './candidates.js'
import type { EndpointQuery, EndpointChoice, PromptQuery } from './endpointQuery.js'
import type { EndpointState } from './EndpointState.js'
import type { EngineLoad } from './EngineModel.js'
import { estimatePauses, type PauseEffect } from './estimatePauses.js'
import { expectedPace, type PaceStatement } from './MachinePace.js'
import { planPrefill } from './planPrefill.js'
import { EMPTY_PREFILL_PLAN } from './prefillPlan.js'

/** Average share of its output token limit that a request uses; callers' own estimates are about half of the limit. */
const EXPECTED_OUTPUT_SHARE = 0.5

/** Share of an engine's memory that running requests can fill without delaying others: cached prompts are evicted for them, but other requests arrive meanwhile. */
const UNCONTENDED_MEMORY_SHARE = 0.6

/** Time in which all running requests of an engine end, in milliseconds: some 40 tokens at 10 ms each, and their prefill. */
const MEMORY_TURNOVER_MS = 800

/** Load of a request without a prompt. */
const NO_LOAD: EngineLoad = { tokensToRead: 0, tokensAhead: 0, requests: 0 }

/** Duration that is assumed for a plain answer before one was seen, in milliseconds. */
const INITIAL_PLAIN_MS = 20

/**
 * Cost of a new connection, in milliseconds: two round trips, one millisecond of the
 * endpoint's time, and the users' price of a connection, a twentieth of the value of a request.
 */
const NEW_CONNECTION_COST_MS = 5

/** Cost of an endpoint at which all requests fail, in milliseconds; it is multiplied by the failure share. */
const FAILURE_COST_MS = 400

/**
 * @param candidate - an endpoint that may take the request
 * @param query - requirements of the request
 * @param isHome - whether this is the home endpoint of the shared part, on which all hosts agree
 * @param holders - which engines probably hold the prompt; undefined for a request without one
 * @param now - monotonic milliseconds
 */
export function estimateEndpoint (
  { endpoint, others, failureShare }: Candidate, query: EndpointQuery, isHome: boolean, holders: PromptHolders | undefined, now: number
): EndpointChoice {
  const crossDataCentreMs = endpointTrafficCostMs(endpoint.listed.dataCentre, query.dataCentre, query.traffic)
  const connectionMs = query.hasConnection?.(endpoint) === false ? NEW_CONNECTION_COST_MS : 0
  const surchargeMs = crossDataCentreMs + connectionMs + failureShare * FAILURE_COST_MS
  if (query.prompt === undefined || holders === undefined) {
    const estimatedMs = estimatePlainMs(endpoint, query, others, now)
    return { endpoint, version: undefined, prefill: EMPTY_PREFILL_PLAN, tokensHeld: 0, estimatedMs, costMs: estimatedMs + surchargeMs, waitMs: estimatedMs, memoryWaitMs: 0, workMs: estimatedMs, load: NO_LOAD, memoryShare: 0 }
  }
  const { description, engine } = query.prompt
  const version = endpoint.version(description.model) ?? 0
  const tokensHeld = description.promptTokens + description.outputTokens * EXPECTED_OUTPUT_SHARE
  const share = memoryShare(endpoint, others, query.prompt, tokensHeld)
  const ahead = { tokensAhead: endpoint.pendingTokens + others.pendingTokens, requests: requestsAt(endpoint, query, others, now) }
  const memoryWaitMs = query.others === undefined ? 0 : Math.max(0, share - UNCONTENDED_MEMORY_SHARE) * MEMORY_TURNOVER_MS
  const waitMs = engine.waitMs(ahead) + memoryWaitMs
  const pace = (usualMs: number): number => paceAt(endpoint, query, usualMs, now)
  const untilPrefillMs = engine.fixedMs + waitMs
  const prefill = planPrefill(endpoint, { ...query.prompt, distances: query.traffic?.distances, objectiveRemainingMs: query.prompt.objectiveRemainingMs - untilPrefillMs * pace(untilPrefillMs) }, version, isHome, holders, now)
  const engineMs = untilPrefillMs + engine.prefillMs(prefill.tokensToRead)
  const machinePace = pace(engineMs)
  const workMs = engineMs * machinePace + prefill.fetchMs
  const estimatedMs = workMs * endpoint.slowness.factor(now)
  const load = { ...ahead, tokensToRead: prefill.tokensToRead }
  const pauses = pauseEffect(endpoint, query, query.prompt, load, now)
  const costMs = estimatedMs + prefill.recomputeCostMs + prefill.trafficCostMs + surchargeMs + (pauses?.costMs ?? 0)
  return { endpoint, version, prefill, tokensHeld, estimatedMs, costMs, waitMs, memoryWaitMs, workMs, load, memoryShare: share, ...(query.usesMachinePace === true ? { machinePace } : {}), ...(pauses === undefined ? {} : { delayedStreams: pauses.delayedStreams }) }
}

/** Returns by how many times work of a usual duration is expected to take longer at an engine. */
function paceAt (endpoint: EndpointState, query: EndpointQuery, usualMs: number, now: number): number {
  return expectedPace(statedPace(endpoint, query, now), usualMs, now)
}

function statedPace (endpoint: EndpointState, { others, usesMachinePace }: EndpointQuery, now: number): PaceStatement | undefined {
  return usesMachinePace === true ? endpoint.paceStatements.newest(others?.paceOf(endpoint.incarnation), now) : undefined
}

/** Returns the effect on pauses, or undefined if it is not accounted for or the load of the other hosts is not known. */
function pauseEffect (endpoint: EndpointState, query: EndpointQuery, { description, engine, longestPauseMs = 0 }: PromptQuery, load: EngineLoad, now: number): PauseEffect | undefined {
  const { streamPace: model, others } = query
  if (model === undefined || others === undefined) return undefined
  const outputTokens = description.outputTokens * EXPECTED_OUTPUT_SHARE
  return estimatePauses({ endpoint, others, model, engine, load, pace: statedPace(endpoint, query, now), longestPauseMs, outputTokens }, now)
}

function estimatePlainMs (endpoint: EndpointState, query: EndpointQuery, others: LoadFigures, now: number): number {
  const { slots } = endpoint.occupancy(now)
  const requests = requestsAt(endpoint, query, others, now)
  const serviceMs = endpoint.latencyMs ?? INITIAL_PLAIN_MS
  // Endpoints slow down when they are nearly full, so a lower count is better even while slots are free.
  return serviceMs * Math.max(1, (requests + 1) / Math.max(1, slots)) + requests
}

/** Counts the requests at an endpoint from the reports of all hosts, or from the endpoint's own load while those are not known. */
function requestsAt (endpoint: EndpointState, query: EndpointQuery, others: LoadFigures, now: number): number {
  return query.others === undefined ? endpoint.occupancy(now).total : endpoint.inFlight + others.inFlight
}

function memoryShare (endpoint: EndpointState, others: LoadFigures, prompt: PromptQuery, tokensHeld: number): number {
  return prompt.memoryTokens === 0 ? 0 : (endpoint.heldTokens + others.heldTokens + tokensHeld) / prompt.memoryTokens
}
