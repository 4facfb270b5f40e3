/** Input and result of the choice of an endpoint. */
import type { PeerLoad } from '../load/PeerLoad.js'
import type { DataCentreDistances } from '../places/DataCentreDistances.js'
import type { DataCentreTraffic } from '../places/dataCentreTraffic.js'
import type { RegionBound } from '../places/RegionBound.js'
import type { PromptDescription } from '../prompts/promptDescription.js'
import type { StoreLinks } from '../stores/StoreLinks.js'
import type { StorePlan } from '../stores/StoredPartsIndex.js'
import type { EndpointState } from './EndpointState.js'
import type { EngineLoad, EngineModel } from './EngineModel.js'
import type { StreamPaceModel } from './StreamPaceModel.js'
import type { PrefillPlan } from './prefillPlan.js'

/** What a request requires of an endpoint. */
export interface EndpointQuery {
  /** Endpoints to which this request has been sent already. */
  readonly excluded: ReadonlySet<string>
  /** Data centre of this host; traffic between data centres has a cost. */
  readonly dataCentre: string
  /** What the request would move between data centres; undefined if another data centre has a fixed cost. */
  readonly traffic?: DataCentreTraffic | undefined
  /** Work that the other entry hosts have reported; undefined while it is not known. */
  readonly others: PeerLoad | undefined
  /** Returns whether this host has an idle connection to an endpoint; opening a new one costs the endpoint time. */
  hasConnection? (endpoint: EndpointState): boolean
  /** Data centres whose endpoints get no new work; none by default. */
  readonly evacuated?: ReadonlySet<string>
  /** Regions in which the request has to stay; undefined if it may go anywhere. */
  readonly regionBound?: RegionBound | undefined
  /** Returns why this host may not send an endpoint a request now, or undefined if it may; by default it always may. */
  holdBackReason? (endpoint: EndpointState): HoldBackReason | undefined
  /** Finds the home endpoint of a shared part, on which all hosts agree; rendezvous hashing by default. */
  readonly homeEndpoint?: (part: string, endpoints: readonly string[]) => string | undefined
  /** Whether the pace that engines state for their machines is used; not by default. */
  readonly usesMachinePace?: boolean
  /** Model of the pauses of running streams; absent if choices do not account for these. */
  readonly streamPace?: StreamPaceModel
  /** Software that the endpoint must have, because a stream began on it; undefined if any will do. */
  readonly requiredSoftware?: RequiredSoftware | undefined
  /** Software versions to use only if no other endpoint can take the request; absent if there are none. */
  readonly avoidedSoftware?: ReadonlySet<string | undefined> | undefined
  readonly prompt?: PromptQuery
}

/** Software on which a stream began. */
export interface RequiredSoftware {
  /** Version as the list states it; undefined if it stated none. */
  readonly version: string | undefined
}

/** Prompt of a request, and what engines and stores hold of it. */
export interface PromptQuery {
  readonly description: PromptDescription
  /** Version of the weights that engines should run; older ones are used only if no engine has it. */
  readonly desiredVersion: number
  /** Milliseconds until the first event would miss its objective; negative once it has. */
  readonly objectiveRemainingMs: number
  /** Returns the milliseconds within which the request may begin on weights of that version. */
  remainingMsOn (version: number): number
  /** Latency model of the engines of this service. */
  readonly engine: EngineModel
  /** Tokens that fit into an engine's memory; 0 if this is not stated. */
  readonly memoryTokens: number
  /** Set when the request must continue on the weights on which it began. */
  readonly requiredVersion: number | undefined
  /** Returns the cache salt of a version. */
  scope (version: number): string
  /** Returns where the shared parts are stored for a version. */
  stored (version: number): StorePlan
  /** Pending transfers and speeds of the stores' links. */
  readonly links: StoreLinks
  readonly bytesPerToken: number
  /** Distances that fetches between data centres are charged for; undefined if they are not considered. */
  readonly distances?: DataCentreDistances | undefined
  /** Longest pause between events that the caller allows, in milliseconds; 0 or absent if there is no limit. */
  readonly longestPauseMs?: number
}

/** The chosen endpoint, with the estimates on which the choice is based. */
export interface EndpointChoice {
  readonly endpoint: EndpointState
  /** Version of the weights that the endpoint is believed to hold; undefined for plain services. */
  readonly version: number | undefined
  /** What the engine will probably prefill and fetch of the prompt. */
  readonly prefill: PrefillPlan
  /** Tokens that the request will occupy in the endpoint's memory. */
  readonly tokensHeld: number
  /** Milliseconds to the first event, or to the whole answer where there are no events. */
  readonly estimatedMs: number
  /** Estimate plus the cost of the resources that the request uses, in milliseconds; the endpoint with the lowest cost is chosen. */
  readonly costMs: number
  /** Part of the estimate that is due to other work. */
  readonly waitMs: number
  /** Part of `waitMs` that is spent waiting for memory. */
  readonly memoryWaitMs: number
  /** Work that the engine has to do before the first event, for the requests of all hosts. */
  readonly load: EngineLoad
  /** Share of the endpoint's memory that all its requests need together with this one; 0 where this is not known. */
  readonly memoryShare: number
  /** The estimate for an endpoint with a slowness factor of 1. */
  readonly workMs: number
  /** By how many times the work at the engine is expected to take longer than usual on its machine; absent if stated paces are not used. */
  readonly machinePace?: number
  /** Expected number of running streams whose pauses the request would push over their limits; absent if choices do not account for these. */
  readonly delayedStreams?: number
  /** Whether the request would push running streams over their limits at this endpoint and at every other one that costs little more. */
  readonly delaysStreamsEverywhere?: boolean
}

/** Why a host sends nothing to an endpoint for a while, even if it is idle. */
export type HoldBackReason =
  /** The endpoint has just started and accepts only few requests a second. */
  | 'cold'
  /** The endpoint states a rate in its answers, and this host has used its share of it. */
  | 'rate-limited'
  /** The endpoint has rejected a request of this host and asked for a pause. */
  | 'asked-to-pause'
  /** The endpoint fails if it has to reject too many requests, and this host has caused its share of them or knows of no free place. */
  | 'brittle'

/** Why no endpoint was chosen. */
export type NoEndpointReason = 'none-listed' | 'none-in-regions' | 'all-evacuated' | 'all-tried' | 'none-of-software' | 'none-of-version' | AllHeldBack

/** All endpoints are held back, for one reason or for several. */
export type AllHeldBack = `all-${HoldBackReason}` | 'all-held-back'
