/**
 * Which shared parts of a prompt an engine fetches from stores, and which it reads.
 *
 * Answers stores whose links have turned slow or have more asked of them than they can
 * send. A fetch costs no reading, but what waits for it holds a place and memory in its
 * engine, and other transfers wait behind it. So parts are fetched only while that costs
 * less than reading them, with a price on work that was done once already and on being late.
 */
import type { PromptHolders } from '../prompts/PromptResidencyTracker.js'
import type { PromptPart } from '../prompts/promptDescription.js'
import type { StoreService } from '@eelgrassmux/schema/site/siteSchema'
import type { PromptQuery } from './endpointQuery.js'
import type { EndpointState } from './EndpointState.js'
import { EMPTY_PREFILL_PLAN, type PrefillPlan } from './prefillPlan.js'

/** Chance that the home of a part holds it although this host has not sent it there: other hosts have. */
const HOME_CHANCE = 0.6

/**
 * What reading a shared token again costs beyond its time, in milliseconds. Work that
 * was done once is not to be paid for again: by the users' prices, reading the shared
 * 5,000 tokens of a quote again loses as much as being late with it.
 */
const READ_AGAIN_MS_PER_TOKEN = 0.05

/**
 * What a first event after its objective costs, in milliseconds: more than reading all of
 * a quote again, because for its caller being on time goes before what the reading costs.
 */
const LATE_MS = 500

/**
 * Shares of the time to the objective up to which a first event will be on time, and from
 * which it will be late: three in four come within 1.3 times the estimate.
 */
const SAFE_SHARE = 0.6
const LATE_SHARE = 1.2

/**
 * What a millisecond of fetching over a sound link costs against one of reading: while the
 * answer is on time nobody is worse off for it. It grows to the full with the first doubling
 * of the link's stated time. Weighed in full also over sound links, short prompts are read
 * again for a backlog of 40 ms (of 2,306 whose parts were stored 1,994 did without the fetch); weighed less over slow ones, prompts
 * wait for them until they are late.
 */
const SOUND_FETCHING_WEIGHT = 0.3

/** What any fetch costs beside its bytes, in milliseconds: its place on the links, and its price. */
const FETCH_MS = 3

/**
 * @param endpoint - an engine
 * @param prompt - what is asked
 * @param version - weights that the engine holds
 * @param isHome - whether hosts send this shared part there by agreement
 * @param holders - which engines probably hold the prompt
 * @param now - monotonic milliseconds
 */
export function planReading (
  endpoint: EndpointState, prompt: PromptQuery, version: number, isHome: boolean, holders: PromptHolders, now: number
): PrefillPlan {
  const shared = prompt.description.parts.slice(0, -1)
  const sharedTokens = sumTokens(shared)
  const known = holders.tokensAt(endpoint.incarnation)
  const held = isHome ? Math.max(known, sharedTokens * HOME_CHANCE) : known
  const stored = storedParts(shared, prompt.stored(version).fetches)
  const fetches = worthFetching(endpoint, prompt, stored, now)
  const { transfers, fetchMs, slowest } = transfersOf(endpoint, prompt, fetches, held, now)
  const sharedToRead = Math.max(0, sharedTokens - Math.max(held, fetches.at(-1)?.end ?? 0))
  const wasReadBefore = holders.isHeldAnywhere || stored.length > fetches.length
  return {
    tokensToRead: Math.max(0, prompt.description.promptTokens - sharedTokens) + sharedToRead,
    partsFromStores: fetches.length,
    transfers,
    fetchMs,
    slowest,
    againMs: wasReadBefore ? sharedToRead * READ_AGAIN_MS_PER_TOKEN : 0
  }
}

/** A part, the store that holds it, and the tokens of the chain up to its end. */
interface PartInStore {
  readonly part: PromptPart
  readonly store: StoreService
  readonly end: number
}

/** The unbroken beginning of the chain that stores hold: what follows a gap is of no use. */
function storedParts (shared: readonly PromptPart[], fetches: ReadonlyArray<StoreService | undefined>): PartInStore[] {
  const stored: PartInStore[] = []
  let end = 0
  for (const [index, part] of shared.entries()) {
    const store = fetches[index]
    if (store === undefined) break
    end += part.tokens
    stored.push({ part, store, end })
  }
  return stored
}

/** The leading parts with the least cost of fetching them and reading the others. */
function worthFetching (endpoint: EndpointState, prompt: PromptQuery, stored: readonly PartInStore[], now: number): readonly PartInStore[] {
  const tokens = stored.at(-1)?.end ?? 0
  let best: readonly PartInStore[] = []
  let leastMs = costOf(EMPTY_PREFILL_PLAN, tokens, prompt)
  for (let count = 1; count <= stored.length; count += 1) {
    const fetched = stored.slice(0, count)
    const costMs = costOf(transfersOf(endpoint, prompt, fetched, 0, now), tokens - (fetched.at(-1)?.end ?? 0), prompt)
    if (costMs > leastMs) continue
    leastMs = costMs
    best = fetched
  }
  return best
}

/** Cost of fetching, and of reading so many tokens that stores hold. */
function costOf ({ fetchMs, slowest }: Pick<PrefillPlan, 'fetchMs' | 'slowest'>, tokens: number, { engine, objectiveRemainingMs: leftToObjectiveMs, description }: PromptQuery): number {
  const ownTokens = description.parts.at(-1)?.tokens ?? 0
  const riskMs = LATE_MS * lateRisk(fetchMs + engine.readMs(tokens + ownTokens), leftToObjectiveMs)
  const slowed = Math.min(1, Math.max(0, slowest?.doublings ?? 0))
  const weight = SOUND_FETCHING_WEIGHT + (1 - SOUND_FETCHING_WEIGHT) * slowed
  return fetchMs * weight + engine.readMs(tokens) + tokens * READ_AGAIN_MS_PER_TOKEN + riskMs
}

/** Chance of a first event to be late, from 0 to 1. */
function lateRisk (estimatedMs: number, leftToObjectiveMs: number): number {
  if (leftToObjectiveMs <= 0) return 1
  const share = estimatedMs / leftToObjectiveMs
  return Math.min(1, Math.max(0, (share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE)))
}

/** Stores send side by side, so the slowest decides; parts that the engine holds move no bytes. */
function transfersOf (
  endpoint: EndpointState, prompt: PromptQuery, parts: readonly PartInStore[], held: number, now: number
): Pick<PrefillPlan, 'transfers' | 'fetchMs' | 'slowest'> {
  const { dataCentre } = endpoint.listed
  const missing = parts.filter(({ end }) => end > held)
  const transfers = missing.map(({ part, store }) => ({ store, dataCentre, bytes: part.tokens * prompt.bytesPerToken }))
  const sendingMs = new Map<StoreService, number>()
  let fetchMs = 0
  let slowest: PrefillPlan['slowest']
  for (const transfer of transfers) {
    const { store } = transfer
    const before = sendingMs.get(store) ?? store.firstByteMs + prompt.links.backlogMs(store, now)
    const untilSentMs = before + prompt.links.transferMs(transfer, now)
    sendingMs.set(store, untilSentMs)
    if (untilSentMs + FETCH_MS <= fetchMs) continue
    fetchMs = untilSentMs + FETCH_MS
    slowest = { transfer, doublings: prompt.links.doublings(store, dataCentre, now) }
  }
  return { transfers, fetchMs, slowest }
}

function sumTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}
