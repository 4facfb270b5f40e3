/**
 * What follows an attempt that did not bring a complete answer.
 *
 * Whether a request may have run decides everything: one that may run once goes
 * to a second endpoint only if the first one certainly did not start it.
 */
import type { RouteKind } from '@eelgrassmux/schema/site/siteSchema'

/** How an attempt ended without a complete answer. */
export type AttemptFailure =
  /** No connection was made: nothing was sent. */
  | 'not-connected'
  /** The endpoint says that it did not run the request: it is full, or leaving. */
  | 'rejected'
  /** The endpoint says that it is not the instance, or does not hold the weights, that was asked for. */
  | 'misdirected'
  /** Sent, and then no answer: it may have run. */
  | 'lost'
  /** The endpoint ran it and answered with a failure. */
  | 'failed'
  /** A stream broke after some events had been passed on. */
  | 'broken-stream'

/** What is known when an attempt has ended. */
export interface AttemptSituation {
  readonly kind: RouteKind
  readonly isResumable: boolean
  readonly failure: AttemptFailure
  /** Endpoints on which the request has run or may have run, this attempt included. */
  readonly runs: number
  /** Endpoints to which it was sent, this attempt included. */
  readonly sends: number
  /** Endpoints on which the operator lets one request run. */
  readonly maxRuns: number
  readonly remainingMs: number
  /** Whether its caller has part of the answer. */
  readonly hasPartialAnswer: boolean
}

/** Whether a further attempt makes sense, and whether it counts against the shared budget. */
export type RetryDecision =
  | { readonly kind: 'give-up' }
  | { readonly kind: 'repeat', readonly spendsBudget: boolean }

/** Most sends of one request; after so many rejections the whole service is full, and the caller had better come back. */
const MAXIMUM_SENDS = 4

/** Most sends of a request whose caller has part of the answer and can't come back for the rest. */
const MAXIMUM_SENDS_ONCE_BEGUN = 10

/** Time below which no further attempt can bring an answer, in milliseconds: a send, the shortest work, and the way back. */
const LEAST_REMAINING_MS = 15

/**
 * @param situation - what is known
 * @returns what to do
 */
export function decideRetry (situation: AttemptSituation): RetryDecision {
  const { failure, sends, runs, maxRuns: maximumRuns, remainingMs, hasPartialAnswer: hasBegun } = situation
  if (remainingMs < LEAST_REMAINING_MS || sends >= (hasBegun ? MAXIMUM_SENDS_ONCE_BEGUN : MAXIMUM_SENDS)) return { kind: 'give-up' }
  if (failure === 'not-connected') return { kind: 'repeat', spendsBudget: false }
  if (failure === 'rejected' || failure === 'misdirected') return { kind: 'repeat', spendsBudget: true }
  if (!mayRunAgain(situation) || runs >= maximumRuns) return { kind: 'give-up' }
  return { kind: 'repeat', spendsBudget: true }
}

/** Whether a second run does no harm: it has no effect outside, and no event reaches the caller twice. */
function mayRunAgain ({ kind, isResumable }: AttemptSituation): boolean {
  return kind === 'safe' || (kind === 'stream' && isResumable)
}
