/** Messages by which entry hosts keep their waiting requests in one order, which the leading control host maintains. */

/** Kinds of endpoints that a request may wait for. */
export type WaitingKind =
  /** Waits for memory, and for the prefill backlog, of an engine. */
  | 'engine'
  /** Waits for a place at an endpoint of a plain service. */
  | 'plain'

/** One request that waits at a host. */
export interface WaitingRequest {
  /** Number of the request, unique on its host during the life of the process. */
  readonly ticket: number
  readonly kind: WaitingKind
  readonly service: string
  /** Name of the customer; empty if the route needs no key. */
  readonly customer: string
  /** Priority of the customer, or of the route if the customer has none; 0 is the most urgent. */
  readonly urgency: number
  /** Tokens of engine memory that the request needs; 0 for plain services. */
  readonly tokens: number
  /** Prompt tokens that an engine has to prefill for the request, as estimated by the host; as many as `tokens` if absent. */
  readonly prefillTokens?: number
  /** Endpoints that may take the request, by incarnation, the best first: at most four; empty if any may. */
  readonly candidates: readonly string[]
  /** Milliseconds since the request arrived. */
  readonly ageMs: number
  /** Latency objective of its route, in milliseconds. */
  readonly objectiveMs: number
  /** Milliseconds for which its caller will still wait. */
  readonly patienceMs: number
  /** Milliseconds that the answer, or the first event, takes once the request is sent, as estimated by the host. */
  readonly workMs: number
}

/** What became of a grant. */
export interface GrantOutcome {
  readonly ticket: number
  /** Whether the request was sent; otherwise its room is free again. */
  readonly wasSent: boolean
}

/** A call that an endpoint of a plain service rejected because it was full. */
export interface PlainRejection {
  /** Incarnation. */
  readonly endpoint: string
  /** Calls of all hosts that were at the endpoint, as far as the host knew. */
  readonly occupancy: number
}

/** Question of a host. */
export interface WaitingReport {
  readonly host: string
  /** Increases with each report of a process. */
  readonly sequence: number
  /** The requests that wait now, the first 64 by the host's own order. */
  readonly waiting: readonly WaitingRequest[]
  /** Outcomes of grants since the last report that was answered. */
  readonly outcomes: readonly GrantOutcome[]
  /** Rejections since the last report that was answered; absent if there are none. */
  readonly rejections?: readonly PlainRejection[]
}

/** Permission to send a request to an endpoint. */
export interface Grant {
  readonly ticket: number
  /** Incarnation of the endpoint. */
  readonly endpoint: string
  /** Milliseconds for which the grant is valid, from the receipt of the answer. */
  readonly validMs: number
}

/** A request that can't be served within its caller's patience. */
export interface WaitingRefusal {
  readonly ticket: number
  /** Milliseconds after which the request could be served. */
  readonly retryAfterMs: number
}

/** An engine at which room is gathered for one large request. */
export interface ReservedEndpoint {
  /** Incarnation. */
  readonly endpoint: string
  /** Urgency of the request that it is reserved for; requests of this or lower urgency are not sent there. */
  readonly urgency: number
}

/** Answer to a host. */
export interface WaitingAnswer {
  /** Sequence of the report that is answered. */
  readonly sequence: number
  readonly grants: readonly Grant[]
  readonly refusals: readonly WaitingRefusal[]
  readonly reserved: readonly ReservedEndpoint[]
  /** Services whose requests have to join the order, because others wait. */
  readonly contended: readonly string[]
}

/** Maximum number of requests in one report. */
export const MAX_REPORTED_WAITING = 64

/** Maximum number of outcomes, and of rejections, in one report; older ones are left out. */
export const MAX_REPORTED_OUTCOMES = 256

/** Maximum number of candidates of a request. */
export const MAX_CANDIDATES = 4

/** Time for which a grant is valid, in milliseconds; a host sends the request as soon as the grant arrives. */
export const GRANT_VALIDITY_MS = 150
