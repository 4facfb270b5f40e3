/**
 * What all hosts together have seen of an endpoint.
 *
 * Answers the load in which many hosts share many endpoints: with 73 hosts and 98
 * engines a host sends one request to a given engine in five seconds, so alone it
 * finds none that is gone or faulty before the fault is over. Together they send
 * nine a second, and the first few that get no answer speak for all. What a host
 * has seen itself goes before what others say: its own way to an endpoint may be
 * sound while theirs is not.
 */
import type { LoadFigures } from '../load/loadReport.js'
import type { EndpointState } from './EndpointState.js'

/**
 * Silence towards all hosts after which an endpoint with work gets no more, in
 * milliseconds. Busy engines send some event every few tens of milliseconds; the
 * longest reading of a prompt in the users' sheets takes 250.
 */
const SILENT_TO_ALL_MS = 500

/** Requests under way that make silence count: one or two may all be waiting for their first event. */
const SILENT_REQUESTS = 3

/** Hosts that must find an endpoint out of reach before others follow: one alone may have lost its own way. */
const FOLLOWED_AVOIDERS = 2

/** Age up to which this host's own word from an endpoint goes before the others', in milliseconds. */
const OWN_WORD_MS = 1000

/** Age up to which a byte from an endpoint says that it lives, whatever others say, in milliseconds: less than it takes to find that it does not. */
const HEARD_MS = 300

/** Successes that an endpoint is credited with at first, so that one failure settles nothing. */
const CREDITED_SUCCESSES = 8

/**
 * Failure share, beyond that of the service, above which an endpoint gets no work
 * if others can take it; grounds as for what one host sees alone ({@link EndpointHealth}).
 */
const EXCESS_FAILING_SHARE = 0.32

/**
 * @param endpoint - as this host knows it
 * @param others - what the other hosts have told of it
 * @param now - monotonic milliseconds
 * @returns whether it has work and has sent nothing to anybody for long
 */
function isSilentToAll (endpoint: EndpointState, others: LoadFigures, now: number): boolean {
  if (endpoint.inFlight + others.inFlight < SILENT_REQUESTS) return false
  const lastByteAgoMs = Math.min(endpoint.lastByteAgoMs(now), others.lastByteAgoMs)
  const waitedMs = Math.max(endpoint.waitedMs(now), others.waitedMs)
  return lastByteAgoMs > SILENT_TO_ALL_MS && waitedMs > SILENT_TO_ALL_MS
}

/**
 * @param endpoint - as this host knows it
 * @param others - what the other hosts have told of it
 * @param now - monotonic milliseconds
 * @returns whether it answers nobody, and has sent nothing to this host since that was found
 */
export function isUnresponsive (endpoint: EndpointState, others: LoadFigures, now: number): boolean {
  return others.unresponsive > 0 && endpoint.lastByteAgoMs(now) > HEARD_MS
}

/**
 * @param endpoint - as this host knows it
 * @param others - what the other hosts have told of it
 * @param now - monotonic milliseconds
 * @returns whether other hosts could not reach it, and this host knows nothing better
 */
function isAvoidedByOthers (endpoint: EndpointState, others: LoadFigures, now: number): boolean {
  return others.avoiders >= FOLLOWED_AVOIDERS && endpoint.lastByteAgoMs(now) > OWN_WORD_MS
}

/**
 * @param endpoint - as this host knows it
 * @param others - what the other hosts have told of it
 * @param now - monotonic milliseconds
 * @returns whether nobody reaches it, as far as all hosts have seen
 */
export function isAbsent (endpoint: EndpointState, others: LoadFigures, now: number): boolean {
  return isUnresponsive(endpoint, others, now) || isAvoidedByOthers(endpoint, others, now)
}

/**
 * @param endpoint - as this host knows it
 * @param others - what the other hosts have told of it
 * @param now - monotonic milliseconds
 * @returns share of requests that failed there lately, over all hosts
 */
export function sharedFailureShare (endpoint: EndpointState, others: LoadFigures, now: number): number {
  const own = endpoint.health.recent(now)
  const outcomes = own.outcomes + others.outcomes
  const failures = own.failures + others.failures
  return Math.max(endpoint.health.failureShare, failures / (outcomes + CREDITED_SUCCESSES))
}

/** Why an endpoint gets no work if others can take it, by what all hosts have seen. */
export type EjectionReason = 'unresponsive' | 'silent-to-all' | 'avoided-by-others' | 'failing'

/**
 * @param endpoint - as this host knows it
 * @param others - what the other hosts have told of it
 * @param excessShare - its failure share beyond the mean of its service
 * @param now - monotonic milliseconds
 * @returns why it is ejected, or undefined if it is not
 */
export function ejectionReason (endpoint: EndpointState, others: LoadFigures, excessShare: number, now: number): EjectionReason | undefined {
  if (isUnresponsive(endpoint, others, now)) return 'unresponsive'
  if (isSilentToAll(endpoint, others, now)) return 'silent-to-all'
  if (isAvoidedByOthers(endpoint, others, now)) return 'avoided-by-others'
  return excessShare > EXCESS_FAILING_SHARE ? 'failing' : undefined
}
