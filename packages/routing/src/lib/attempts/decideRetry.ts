/**
 * Decides what follows an attempt that did not bring a complete answer.
 *
 * The decision depends on whether the request may have run: a request that must not run
 * twice goes to a second endpoint only if the first one certainly did not start it.
 */
import type { RouteKind } from '@eelgrassmux/schema/site/siteSchema'

/** How an attempt ended without a complete answer. */
export type AttemptFailure =
  /** No connection was made, so nothing was sent. */
  | 'not-connected'
  /** The request can't be written as HTTP, whatever the endpoint. */
  | 'unsendable'
  /** The endpoint says that it did not run the request, because it is full or leaving. */
  | 'rejected'
  /** The endpoint says that it is not the requested instance, or does not hold the requested weights. */
  | 'misdirected'
  /** The request was sent and not answered, so it may have run. */
  | 'lost'
  /** The endpoint ran the request and answered with a failure. */
  | 'failed'
  /** The endpoint had not begun to answer when its weights could no longer be used; it may have begun to run the request. */
  | 'not-started'
  /** A stream broke after some events had been passed on. */
  | 'broken-stream'

/** State of a request when an attempt has ended. */
export interface AttemptContext {
  readonly kind: RouteKind
  readonly isResumable: boolean
  readonly failure: AttemptFailure
  /** Endpoints on which the request has run or may have run, this attempt included. */
  readonly runs: number
  /** Endpoints to which it was sent, this attempt included. */
  readonly sends: number
  /** Maximum number of endpoints on which the operator lets one request run. */
  readonly maxRuns: number
  readonly remainingMs: number
  /** Whether the caller has received part of the answer. */
  readonly hasPartialAnswer: boolean
}

/** Whether a further attempt makes sense, and whether it counts against the shared budget. */
export type RetryDecision =
  | { readonly kind: 'give-up' }
  | { readonly kind: 'repeat', readonly spendsBudget: boolean }

/** Maximum sends of one request; after so many rejections the whole service is full, and the caller should retry later. */
const MAX_SENDS = 4

/** Maximum sends of a request whose caller has part of the answer and can't retry for the rest. */
const MAX_SENDS_AFTER_PARTIAL_ANSWER = 10

/** Remaining time below which no further attempt can bring an answer, in milliseconds: a send, the shortest work and the way back. */
const MIN_REMAINING_MS = 15

/**
 * @param context - state of the request
 * @returns whether to try again
 */
export function decideRetry (context: AttemptContext): RetryDecision {
  const { failure, sends, runs, maxRuns, remainingMs, hasPartialAnswer } = context
  if (remainingMs < MIN_REMAINING_MS || sends >= (hasPartialAnswer ? MAX_SENDS_AFTER_PARTIAL_ANSWER : MAX_SENDS)) return { kind: 'give-up' }
  if (failure === 'unsendable') return { kind: 'give-up' }
  if (failure === 'not-connected') return { kind: 'repeat', spendsBudget: false }
  if (failure === 'rejected' || failure === 'misdirected') return { kind: 'repeat', spendsBudget: true }
  if (!mayRunAgain(context) || runs >= maxRuns) return { kind: 'give-up' }
  return { kind: 'repeat', spendsBudget: true }
}

/**
 * @param context - kind of the route, and whether its streams may be resumed
 * @returns whether a second run is harmless: it has no side effects, and no event reaches the caller twice
 */
export function mayRunAgain ({ kind, isResumable }: Pick<AttemptContext, 'kind' | 'isResumable'>): boolean {
  return kind === 'safe' || (kind === 'stream' && isResumable)
}
