/** The load that entry hosts have at endpoints, as they report it. */
import type { BrittlenessStatement } from '../endpoints/Brittleness.js'
import type { RateLimitStatement } from '../endpoints/StatedRateLimit.js'
import type { StreamLimits } from '../endpoints/RunningStreams.js'
import type { LinkLoad } from './linkLoad.js'

/** Load of one or all hosts at one endpoint, with their observations of it. */
export interface EndpointLoad extends EndpointObservations {
  /** Incarnation, so that load at a previous incarnation is not added to that at the current one. */
  readonly endpoint: string
  /** Requests that were sent and not answered completely. */
  readonly inFlight: number
  /** Prompt tokens to be prefilled before the first events of the requests in flight. */
  readonly pendingTokens: number
  /** Tokens that the requests in flight hold, or will hold, in the endpoint's memory. */
  readonly heldTokens: number
}

/** Observations of an endpoint, made by the requests sent to it. */
export interface EndpointObservations {
  /** Milliseconds since any byte arrived from the endpoint; the minimum over all hosts. */
  readonly lastByteAgoMs: number
  /** Milliseconds for which the endpoint has had requests without interruption; the maximum over all hosts. */
  readonly waitedMs: number
  /** Number of hosts that currently send the endpoint no requests, because they could not reach it or got no answer. */
  readonly avoiders: number
  /** 1 if the endpoint responds to no host and fails the probes of the aggregating host. Set in totals only. */
  readonly unresponsive: number
  /** Decaying count of requests that ended at the endpoint. */
  readonly outcomes: number
  /** Decaying count of requests that failed at the endpoint. */
  readonly failures: number
}

/** Load without the name of its endpoint. */
export type LoadFigures = Omit<EndpointLoad, 'endpoint'>

/** Largest age that is reported, in milliseconds; older events are all the same. */
export const MAX_REPORTED_AGE_MS = 60_000

/** Figures of an endpoint without load or observations. */
export const NO_ENDPOINT_LOAD: LoadFigures = {
  inFlight: 0, pendingTokens: 0, heldTokens: 0, lastByteAgoMs: MAX_REPORTED_AGE_MS, waitedMs: 0, avoiders: 0, unresponsive: 0, outcomes: 0, failures: 0
}

/** Latest rate limit that an endpoint has stated. */
export interface EndpointRateLimit extends RateLimitStatement {
  /** Incarnation. */
  readonly endpoint: string
}

/** Latest bound on rejections that an endpoint has stated. */
export interface EndpointBrittleness extends BrittlenessStatement {
  /** Incarnation. */
  readonly endpoint: string
}

/** Latest pace that an endpoint has stated for the machine that it shares. */
export interface EndpointPace {
  /** Incarnation. */
  readonly endpoint: string
  /** How many times as long as usual work takes on the machine. */
  readonly factor: number
  /** Milliseconds since a host read the statement. */
  readonly statedAgoMs: number
}

/** Running streams at an endpoint whose callers limit the pause between events. */
export interface EndpointStreams extends StreamLimits {
  /** Incarnation. */
  readonly endpoint: string
}

/** Load of one host. */
export interface LoadReport {
  readonly host: string
  /** Increases with each report. */
  readonly sequence: number
  readonly work: readonly EndpointLoad[]
  readonly links: readonly LinkLoad[]
  /** Rate limits that the host has read recently; absent if there are none. */
  readonly limits?: readonly EndpointRateLimit[]
  /** Bounds on rejections that the host has read recently; absent if there are none. */
  readonly brittle?: readonly EndpointBrittleness[]
  /** Paces other than the usual one that the host has read recently, and usual ones that supersede them; absent if there are none. */
  readonly paces?: readonly EndpointPace[]
  /** Running streams with a limited pause, at endpoints with load; absent if there are none. */
  readonly streams?: readonly EndpointStreams[]
}

/** Load of all hosts, as returned to one of them. */
export interface LoadTotals {
  /** Sequence of the latest report of the querying host that the totals include. */
  readonly sequence: number
  readonly work: readonly EndpointLoad[]
  readonly links: readonly LinkLoad[]
  /** Latest rate limits that any host has read; absent if there are none. */
  readonly limits?: readonly EndpointRateLimit[]
  /** Latest bounds on rejections that any host has read; absent if there are none. */
  readonly brittle?: readonly EndpointBrittleness[]
  /** Latest paces other than the usual one that any host has read recently; absent if there are none. */
  readonly paces?: readonly EndpointPace[]
  /** Running streams with a limited pause, of all hosts; absent if there are none. */
  readonly streams?: readonly EndpointStreams[]
}
