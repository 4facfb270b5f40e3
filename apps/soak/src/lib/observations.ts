/** Requests and outcomes as callers observe them. Times are wall-clock milliseconds, which all processes share because they run on one host. */
import type { StreamEvent, Work } from './standinProtocol.js'

/** Kinds of requests; `generation` is a resumable stream of a model, `probe` tests whether a site version is in force. */
export const REQUEST_KINDS = ['safe', 'unsafe', 'stream', 'resumable', 'generation', 'probe'] as const
export type RequestKind = typeof REQUEST_KINDS[number]

/** Kinds of requests that may run at most once. */
export const AT_MOST_ONCE_KINDS: ReadonlySet<RequestKind> = new Set<RequestKind>(['unsafe', 'stream'])

/** A request as its caller sent it. */
export interface SentRequest {
  readonly id: string
  readonly kind: RequestKind
  readonly customer: string
  readonly work: Work
  readonly body: string
  /** Incarnation of the entry host to which the request was sent. */
  readonly host: string
  readonly sentAt: number
  /** Site version that a probe tests; 0 for other kinds. */
  readonly siteVersion: number
  /** The stream that the request takes up after its connection broke; absent for other requests. */
  readonly takenUp?: TakenUpStream
  /** Id of the request of which this is a retry, because a host has closed its connection unread; absent for first attempts. */
  readonly retries?: string
  /** Deadline that the caller names, in milliseconds; that of all requests if absent. */
  readonly deadlineMs?: number
  /** Shared part of the prompt; absent for requests whose prompt is their own. */
  readonly part?: string
}

/** Where a stream is taken up. */
export interface TakenUpStream {
  /** Id of the request that brought its first event. */
  readonly first: string
  /** Number of the last event that the caller has. */
  readonly lastEvent: number
}

/** How a request ended for its caller. */
export type RequestEnd =
  | { readonly kind: 'answered', readonly status: number, readonly answerId: string | undefined, readonly body: string, readonly events: readonly StreamEvent[] }
  /** The connection ended before the answer was complete. */
  | { readonly kind: 'cut', readonly hasHead: boolean, readonly reason: string, readonly events: readonly StreamEvent[] }

/**
 * @param end - how a request ended
 * @returns whether the connection ended before any part of an answer came, as it does if a host closes it unread
 */
export function isUnread (end: RequestEnd): boolean {
  return end.kind === 'cut' && !end.hasHead
}

/** A request and how it ended for its caller. */
export interface Outcome {
  readonly request: SentRequest
  readonly end: RequestEnd
  readonly endedAt: number
}
