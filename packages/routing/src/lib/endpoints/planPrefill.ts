/**
 * Decides which shared parts of a prompt an engine fetches from stores, and which it prefills.
 *
 * A store's link can be slow or have more requested of it than it can send. A fetch saves
 * prefill work, but a request that waits for it occupies a slot and memory in its engine, and
 * other transfers queue behind it. Parts are therefore fetched only while that costs less than
 * prefilling them, where repeating work that was done once and missing the objective have a cost.
 */
import type { PromptHolders } from '../prompts/PromptResidencyTracker.js'
import { fetchTrafficCostMs } from '../places/dataCentreTraffic.js'
import type { PromptPart } from '../prompts/promptDescription.js'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import type { PromptQuery } from './endpointQuery.js'
import type { EndpointState } from './EndpointState.js'
import { EMPTY_PREFILL_PLAN, type PrefillPlan } from './prefillPlan.js'

/** Probability that the home endpoint of a part holds it although this host has not sent it there, because other hosts have. */
const HOME_HIT_PROBABILITY = 0.6

/**
 * Cost of prefilling a shared token again beyond the time it takes, in milliseconds. By
 * the users' prices, prefilling the shared 5,000 tokens of a quote again loses as much
 * as answering the quote late, because work that was done once is not paid for again.
 */
const RECOMPUTE_COST_MS_PER_TOKEN = 0.05

/**
 * Cost of a first event that misses its objective, in milliseconds. It exceeds the cost of
 * prefilling all of a quote again, because being on time matters more to the caller.
 */
const LATE_COST_MS = 500

/**
 * Estimated time as a share of the time to the objective: up to the first share a first event
 * is taken to be on time, and from the second to be late. Three in four first events come
 * within 1.3 times the estimate.
 */
const ON_TIME_SHARE = 0.6
const LATE_SHARE = 1.2

/**
 * Weight of a millisecond of fetching over a healthy link, compared with one of prefill: as
 * long as the answer is on time, waiting for a fetch harms nobody. The weight grows to 1 with the
 * first doubling of the link's stated time. With full weight on healthy links, short prompts
 * are prefilled again because of a backlog of 40 ms (1,994 of 2,306 prompts whose parts were
 * stored were not fetched). With a lower weight on slow links, prompts wait for them until
 * they are late.
 */
const HEALTHY_LINK_FETCH_WEIGHT = 0.3

/** Cost of any fetch besides its bytes, in milliseconds: its slot on the links, and its price. */
const FETCH_OVERHEAD_MS = 3

/**
 * @param endpoint - an engine
 * @param prompt - prompt of the request
 * @param version - version of the weights that the engine holds
 * @param isHome - whether this is the home endpoint of the shared part, on which all hosts agree
 * @param holders - which engines probably hold the prompt
 * @param now - monotonic milliseconds
 */
export function planPrefill (
  endpoint: EndpointState, prompt: PromptQuery, version: number, isHome: boolean, holders: PromptHolders, now: number
): PrefillPlan {
  const shared = prompt.description.parts.slice(0, -1)
  const sharedTokens = sumTokens(shared)
  const known = holders.tokensAt(endpoint.incarnation)
  const held = isHome ? Math.max(known, sharedTokens * HOME_HIT_PROBABILITY) : known
  const stored = storedParts(shared, prompt.stored(version).fetches)
  const fetches = chooseFetches(endpoint, prompt, stored, now)
  const { transfers, fetchMs, slowest, trafficCostMs } = planTransfers(endpoint, prompt, fetches, held, now)
  const sharedToRead = Math.max(0, sharedTokens - Math.max(held, fetches.at(-1)?.end ?? 0))
  const wasComputedBefore = holders.isHeldAnywhere || stored.length > fetches.length
  return {
    tokensToRead: Math.max(0, prompt.description.promptTokens - sharedTokens) + sharedToRead,
    partsFromStores: fetches.length,
    transfers,
    fetchMs,
    slowest,
    trafficCostMs,
    recomputeCostMs: wasComputedBefore ? sharedToRead * RECOMPUTE_COST_MS_PER_TOKEN : 0
  }
}

/** A part, the store that holds it, and the number of tokens of the prompt up to the end of the part. */
interface StoredPart {
  readonly part: PromptPart
  readonly store: StoreService
  readonly end: number
}

/** Returns the leading parts that stores hold without a gap; parts after a gap can't be used. */
function storedParts (shared: readonly PromptPart[], fetches: ReadonlyArray<StoreService | undefined>): StoredPart[] {
  const stored: StoredPart[] = []
  let end = 0
  for (const [index, part] of shared.entries()) {
    const store = fetches[index]
    if (store === undefined) break
    end += part.tokens
    stored.push({ part, store, end })
  }
  return stored
}

/** Returns the leading parts for which fetching them and prefilling the rest costs least. */
function chooseFetches (endpoint: EndpointState, prompt: PromptQuery, stored: readonly StoredPart[], now: number): readonly StoredPart[] {
  const tokens = stored.at(-1)?.end ?? 0
  let best: readonly StoredPart[] = []
  let leastMs = costOf(EMPTY_PREFILL_PLAN, tokens, prompt)
  for (let count = 1; count <= stored.length; count += 1) {
    const fetched = stored.slice(0, count)
    const costMs = costOf(planTransfers(endpoint, prompt, fetched, 0, now), tokens - (fetched.at(-1)?.end ?? 0), prompt)
    if (costMs > leastMs) continue
    leastMs = costMs
    best = fetched
  }
  return best
}

/** Returns the cost of fetching some stored parts and prefilling the given number of other stored tokens. */
function costOf ({ fetchMs, slowest, trafficCostMs }: Pick<PrefillPlan, 'fetchMs' | 'slowest' | 'trafficCostMs'>, tokens: number, { engine, objectiveRemainingMs, description }: PromptQuery): number {
  const ownTokens = description.parts.at(-1)?.tokens ?? 0
  const lateCostMs = LATE_COST_MS * lateProbability(fetchMs + engine.prefillMs(tokens + ownTokens), objectiveRemainingMs)
  const slowdown = Math.min(1, Math.max(0, slowest?.doublings ?? 0))
  const weight = HEALTHY_LINK_FETCH_WEIGHT + (1 - HEALTHY_LINK_FETCH_WEIGHT) * slowdown
  return fetchMs * weight + engine.prefillMs(tokens) + tokens * RECOMPUTE_COST_MS_PER_TOKEN + lateCostMs + trafficCostMs
}

/** Estimates the probability that a first event is late, from 0 to 1. */
function lateProbability (estimatedMs: number, objectiveRemainingMs: number): number {
  if (objectiveRemainingMs <= 0) return 1
  const share = estimatedMs / objectiveRemainingMs
  return Math.min(1, Math.max(0, (share - ON_TIME_SHARE) / (LATE_SHARE - ON_TIME_SHARE)))
}

/** Plans the transfers of parts that the engine does not hold. Stores send in parallel, so the slowest one determines the time. */
function planTransfers (
  endpoint: EndpointState, prompt: PromptQuery, parts: readonly StoredPart[], held: number, now: number
): Pick<PrefillPlan, 'transfers' | 'fetchMs' | 'slowest' | 'trafficCostMs'> {
  const { dataCentre } = endpoint.listed
  const missing = parts.filter(({ end }) => end > held)
  const transfers = missing.map(({ part, store }) => ({ store, dataCentre, bytes: part.tokens * prompt.bytesPerToken }))
  const sendingMs = new Map<StoreService, number>()
  let fetchMs = 0
  let trafficCostMs = 0
  let slowest: PrefillPlan['slowest']
  for (const transfer of transfers) {
    const { store } = transfer
    const before = sendingMs.get(store) ?? store.firstByteMs + prompt.links.backlogMs(store, now)
    const transferMs = prompt.links.transferMs(transfer, now)
    const untilSentMs = before + transferMs
    trafficCostMs += fetchTrafficCostMs(transfer, transferMs, prompt.distances)
    sendingMs.set(store, untilSentMs)
    if (untilSentMs + FETCH_OVERHEAD_MS <= fetchMs) continue
    fetchMs = untilSentMs + FETCH_OVERHEAD_MS
    slowest = { transfer, doublings: prompt.links.doublings(store, dataCentre, now) }
  }
  return { transfers, fetchMs, slowest, trafficCostMs }
}

function sumTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}
