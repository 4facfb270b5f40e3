/** What entry hosts tell of the work that they have under way at endpoints. */
import type { RateLimitStatement } from '../endpoints/StatedRateLimit.js'
import type { LinkLoad } from './linkLoad.js'

/** Work of one or all hosts at one endpoint, and what they have seen of it. */
export interface EndpointLoad extends EndpointObservations {
  /** Incarnation, so that work at a former one is not added to that at the present one. */
  readonly endpoint: string
  /** Requests sent and not answered whole. */
  readonly inFlight: number
  /** Prompt tokens to be read before the first events of those requests. */
  readonly pendingTokens: number
  /** Tokens that those requests hold, or will hold, in the endpoint's memory. */
  readonly heldTokens: number
}

/** What requests have shown of an endpoint. */
export interface EndpointObservations {
  /** Milliseconds since any byte came from it; over all hosts the least. */
  readonly lastByteAgoMs: number
  /** Milliseconds for which it has had work without a break; over all hosts the most. */
  readonly waitedMs: number
  /** Hosts that could not reach it, or got no answer, and give it no work for now. */
  readonly avoiders: number
  /** 1 if it answers nobody, not even the host that adds up; of totals only. */
  readonly unresponsive: number
  /** Requests that ended there lately; older ones count less. */
  readonly outcomes: number
  /** Of those, the ones that failed. */
  readonly failures: number
}

/** Work without its endpoint's name. */
export type LoadFigures = Omit<EndpointLoad, 'endpoint'>

/** Milliseconds beyond which it does not matter how long ago something was. */
export const MAX_REPORTED_AGE_MS = 60_000

/** An endpoint without work of which nothing was seen. */
export const NO_ENDPOINT_LOAD: LoadFigures = {
  inFlight: 0, pendingTokens: 0, heldTokens: 0, lastByteAgoMs: MAX_REPORTED_AGE_MS, waitedMs: 0, avoiders: 0, unresponsive: 0, outcomes: 0, failures: 0
}

/** What an endpoint said last of the rate that it takes. */
export interface EndpointRateLimit extends RateLimitStatement {
  /** Incarnation. */
  readonly endpoint: string
}

/** One host's own work. */
export interface LoadReport {
  readonly host: string
  /** Rises with each report. */
  readonly sequence: number
  readonly work: readonly EndpointLoad[]
  readonly links: readonly LinkLoad[]
  /** What the host has read of late; absent if it has read of no limit. */
  readonly limits?: readonly EndpointRateLimit[]
}

/** Work of all hosts, as it is answered to one of them. */
export interface LoadTotals {
  /** The report of the asking host that the work includes. */
  readonly sequence: number
  readonly work: readonly EndpointLoad[]
  readonly links: readonly LinkLoad[]
  /** Newest statements that any host has read; absent if there are none. */
  readonly limits?: readonly EndpointRateLimit[]
}
