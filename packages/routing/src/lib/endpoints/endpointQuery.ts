/** What is asked when an endpoint is chosen, and what comes of it. */
import type { PeerLoad } from '../load/PeerLoad.js'
import type { RegionBound } from '../places/RegionBound.js'
import type { PromptDescription } from '../prompts/promptDescription.js'
import type { StoreLinks } from '../stores/StoreLinks.js'
import type { StorePlan } from '../stores/StoredPartsIndex.js'
import type { EndpointState } from './EndpointState.js'
import type { EngineLoad, EngineModel } from './EngineModel.js'
import type { PrefillPlan } from './prefillPlan.js'

/** What is asked of an endpoint. */
export interface EndpointQuery {
  /** Endpoints that this request was sent to already. */
  readonly excluded: ReadonlySet<string>
  /** Data centre of this host; bytes between data centres cost. */
  readonly dataCentre: string
  /** What the other entry hosts have under way; undefined while that is not known. */
  readonly others: PeerLoad | undefined
  /** Whether this host has an idle connection to an endpoint; a new one costs the endpoint time. */
  hasConnection? (endpoint: EndpointState): boolean
  /** Data centres whose endpoints get no new work; none unless given. */
  readonly evacuated?: ReadonlySet<string>
  /** Regions in which the request has to stay; undefined if it may go anywhere. */
  readonly regionBound?: RegionBound | undefined
  /** Why this host may not send an endpoint a request now, undefined if it may; it may always unless given. */
  holdBackReason? (endpoint: EndpointState): HoldBackReason | undefined
  /** Finds the endpoint that hosts agree on for a shared part; as by rendezvous hashing unless it is given. */
  readonly homeEndpoint?: (part: string, endpoints: readonly string[]) => string | undefined
  readonly prompt?: PromptQuery
}

/** A prompt, and what engines keep of it. */
export interface PromptQuery {
  readonly description: PromptDescription
  /** Weights that engines should run; older ones are taken only if nothing else is there. */
  readonly desiredVersion: number
  /** Milliseconds until the first event would be late; negative once it is. */
  readonly objectiveRemainingMs: number
  /** Milliseconds within which the request may begin on weights of that version. */
  remainingMsOn (version: number): number
  /** What engines of this service take for it. */
  readonly engine: EngineModel
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
  /** What it will probably read and fetch of the prompt. */
  readonly prefill: PrefillPlan
  /** Tokens that it will hold in the endpoint's memory. */
  readonly tokensHeld: number
  /** Milliseconds to its first event, or to the whole answer where there are no events. */
  readonly estimatedMs: number
  /** The estimate and the price of what it uses, in milliseconds: the least is chosen. */
  readonly costMs: number
  /** Of the estimate, what other work takes. */
  readonly waitMs: number
  /** Of that, what it waits for memory. */
  readonly memoryWaitMs: number
  /** What it has to do before the first event, for all hosts. */
  readonly load: EngineLoad
  /** Share of the endpoint's memory that all requests there need with this one; 0 where that is not known. */
  readonly memoryShare: number
  /** The estimate as it would be at an endpoint that is neither slow nor fast. */
  readonly workMs: number
}

/** Why a host sends an endpoint nothing for a while, however idle it is. */
export type HoldBackReason =
  /** It has just started and takes few requests a second. */
  | 'cold'
  /** It names a rate in its answers, and this host has sent its part of it. */
  | 'rate-limited'
  /** It has rejected a request of this host and wants nothing more for a while. */
  | 'asked-to-pause'

/** Why no endpoint was chosen. */
export type NoEndpointReason = 'none-listed' | 'none-in-regions' | 'all-evacuated' | 'all-tried' | 'none-of-version' | AllHeldBack

/** All endpoints are held back, for one reason or for several. */
export type AllHeldBack = `all-${HoldBackReason}` | 'all-held-back'
