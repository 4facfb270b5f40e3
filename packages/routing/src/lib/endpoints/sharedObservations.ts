/**
 * Evaluates what all hosts together have observed of an endpoint.
 *
 * With 73 hosts and 98 engines, a host sends one request to a given engine in five
 * seconds, so alone it detects no engine that is gone or faulty before the fault is over.
 * Together the hosts send nine a second, and the first few requests without an answer are
 * evidence for all. A host's own observations take precedence over those of others,
 * because its own path to an endpoint may work while theirs does not.
 */
import type { LoadFigures } from '../load/loadReport.js'
import type { EndpointState } from './EndpointState.js'

/**
 * Silence towards all hosts after which an endpoint with requests in flight gets no
 * more, in milliseconds. Busy engines send some event every few tens of milliseconds;
 * the longest prefill of a prompt in the users' sheets takes 250.
 */
const SILENT_TO_ALL_MS = 500

/** Requests in flight from which silence counts: one or two may all be waiting for their first event. */
const MIN_SILENT_REQUESTS = 3

/** Hosts that must find an endpoint unreachable before others follow them; a single host may have lost its own path. */
const MIN_AVOIDERS = 2

/** Age up to which a byte that this host received from an endpoint outweighs the reports of other hosts that can't reach it, in milliseconds. */
const OWN_CONTACT_MS = 1000

/** Age up to which a byte proves that the endpoint is alive, whatever others report, in milliseconds; detecting that it is not takes longer. */
const ALIVE_AFTER_BYTE_MS = 300

/** Successes that the failure share of each endpoint starts with, so that one failure decides nothing. */
const PRIOR_SUCCESSES = 8

/**
 * Failure share above that of the service from which an endpoint gets no work while
 * others can take it. The value has the same reasons as the one for the failures that
 * a single host observes, in {@link EndpointHealth}.
 */
const EXCESS_FAILING_SHARE = 0.32

/**
 * @param endpoint - endpoint as this host knows it
 * @param others - what the other hosts have reported of it
 * @param now - monotonic milliseconds
 * @returns whether the endpoint has requests in flight and has sent nothing to any host for long
 */
function isSilentToAll (endpoint: EndpointState, others: LoadFigures, now: number): boolean {
  if (endpoint.inFlight + others.inFlight < MIN_SILENT_REQUESTS) return false
  const lastByteAgoMs = Math.min(endpoint.lastByteAgoMs(now), others.lastByteAgoMs)
  const waitedMs = Math.max(endpoint.waitedMs(now), others.waitedMs)
  return lastByteAgoMs > SILENT_TO_ALL_MS && waitedMs > SILENT_TO_ALL_MS
}

/**
 * @param endpoint - endpoint as this host knows it
 * @param others - what the other hosts have reported of it
 * @param now - monotonic milliseconds
 * @returns whether the endpoint was found to answer no host, and has sent nothing to this host recently
 */
export function isUnresponsive (endpoint: EndpointState, others: LoadFigures, now: number): boolean {
  return others.unresponsive > 0 && endpoint.lastByteAgoMs(now) > ALIVE_AFTER_BYTE_MS
}

/**
 * @param endpoint - endpoint as this host knows it
 * @param others - what the other hosts have reported of it
 * @param now - monotonic milliseconds
 * @returns whether several other hosts could not reach the endpoint and this host has had no recent contact with it
 */
function isAvoidedByOthers (endpoint: EndpointState, others: LoadFigures, now: number): boolean {
  return others.avoiders >= MIN_AVOIDERS && endpoint.lastByteAgoMs(now) > OWN_CONTACT_MS
}

/**
 * @param endpoint - endpoint as this host knows it
 * @param others - what the other hosts have reported of it
 * @param now - monotonic milliseconds
 * @returns whether no host reaches the endpoint, as far as all hosts have observed
 */
export function isUnreachableByAll (endpoint: EndpointState, others: LoadFigures, now: number): boolean {
  return isUnresponsive(endpoint, others, now) || isAvoidedByOthers(endpoint, others, now)
}

/**
 * @param endpoint - endpoint as this host knows it
 * @param others - what the other hosts have reported of it
 * @param now - monotonic milliseconds
 * @returns share of the recent requests to it that failed, over all hosts
 */
export function sharedFailureShare (endpoint: EndpointState, others: LoadFigures, now: number): number {
  const own = endpoint.health.recentOutcomes(now)
  const outcomes = own.outcomes + others.outcomes
  const failures = own.failures + others.failures
  return Math.max(endpoint.health.failureShare, failures / (outcomes + PRIOR_SUCCESSES))
}

/** Why an endpoint gets no work while others can take it, based on the observations of all hosts. */
export type EjectionReason = 'unresponsive' | 'silent-to-all' | 'avoided-by-others' | 'failing'

/**
 * @param endpoint - endpoint as this host knows it
 * @param others - what the other hosts have reported of it
 * @param excessShare - failure share of the endpoint above the mean of its service
 * @param now - monotonic milliseconds
 * @returns why the endpoint is ejected, or undefined if it is not
 */
export function ejectionReason (endpoint: EndpointState, others: LoadFigures, excessShare: number, now: number): EjectionReason | undefined {
  if (isUnresponsive(endpoint, others, now)) return 'unresponsive'
  if (isSilentToAll(endpoint, others, now)) return 'silent-to-all'
  if (isAvoidedByOthers(endpoint, others, now)) return 'avoided-by-others'
  return excessShare > EXCESS_FAILING_SHARE ? 'failing' : undefined
}
