/** Who may take a request. */
import { NO_ENDPOINT_LOAD, type LoadFigures } from '../load/loadReport.js'
import type { AllHeldBack, EndpointQuery, HoldBackReason, NoEndpointReason, PromptQuery } from './endpointQuery.js'
import type { EndpointState } from './EndpointState.js'
import { ejectionReason, isAbsent, sharedFailureShare } from './sharedObservations.js'

/** An endpoint with what other hosts have told of it. */
export interface Candidate {
  readonly endpoint: EndpointState
  readonly others: LoadFigures
  readonly failureShare: number
}

/**
 * @param endpoints - all of the service
 * @param ask - what is asked
 * @param now - monotonic milliseconds
 * @returns those that may take the request, or why there is none
 */
export function candidatesFor (endpoints: readonly EndpointState[], ask: EndpointQuery, now: number): readonly Candidate[] | NoEndpointReason {
  const present = endpoints.filter(endpoint => !endpoint.isLeaving)
  if (present.length === 0) return 'none-listed'
  const allowedThere = present.filter(endpoint => ask.regionBound?.allows(endpoint.listed.dataCentre) !== false)
  if (allowedThere.length === 0) return 'none-in-regions'
  const open = allowedThere.filter(endpoint => ask.evacuated?.has(endpoint.listed.dataCentre) !== true)
  if (open.length === 0) return 'all-evacuated'
  const untried = open.filter(endpoint => !ask.excluded.has(endpoint.id))
  if (untried.length === 0) return 'all-tried'
  const able = ofVersion(untried, ask.prompt)
  if (able.length === 0) return 'none-of-version'
  const candidates = able.map(endpoint => asCandidate(endpoint, ask, now))
  for (const candidate of candidates) noteAbsence(candidate, now)
  const held = new Set<HoldBackReason>()
  const allowed = candidates.filter(({ endpoint }) => {
    const reason = ask.holdBackReason?.(endpoint)
    if (reason !== undefined) held.add(reason)
    return reason === undefined
  })
  return allowed.length === 0 ? allHeldBack(held) : preferred(allowed, now)
}

function allHeldBack (reasons: ReadonlySet<HoldBackReason>): AllHeldBack {
  const [reason] = reasons
  return reasons.size > 1 || reason === undefined ? 'all-held-back' : `all-${reason}`
}

/** The newest weights that may be used; a request that began under a version goes on under it. */
function ofVersion (endpoints: readonly EndpointState[], prompt: PromptQuery | undefined): readonly EndpointState[] {
  if (prompt === undefined) return endpoints
  const { model } = prompt.description
  const serving = endpoints.filter(endpoint => endpoint.version(model) !== undefined)
  if (prompt.requiredVersion !== undefined) return serving.filter(endpoint => endpoint.version(model) === prompt.requiredVersion)
  const desired = serving.filter(endpoint => (endpoint.version(model) ?? 0) >= prompt.desiredVersion)
  return desired.length > 0 ? desired : serving
}

function asCandidate (endpoint: EndpointState, ask: EndpointQuery, now: number): Candidate {
  const others = ask.others?.forEndpoint(endpoint.incarnation) ?? NO_ENDPOINT_LOAD
  return { endpoint, others, failureShare: sharedFailureShare(endpoint, others, now) }
}

/** An endpoint that nobody reaches may have started anew by the time that it is reached again. */
function noteAbsence ({ endpoint, others }: Candidate, now: number): void {
  if (endpoint.health.isUnreachable(now) || isAbsent(endpoint, others, now)) endpoint.markUnavailable(now)
}

/** Healthy endpoints with room; else any that are healthy, else any. */
function preferred (candidates: readonly Candidate[], now: number): readonly Candidate[] {
  const meanShare = candidates.reduce((sum, candidate) => sum + candidate.failureShare, 0) / candidates.length
  const healthy = candidates.filter(candidate => isHealthy(candidate, meanShare, now))
  const able = healthy.length > 0 ? healthy : candidates
  const idle = able.filter(({ endpoint }) => !endpoint.isBusy(now))
  const awake = idle.length > 0 ? idle : able
  const withRoom = awake.filter(({ endpoint }) => !endpoint.isFull(now))
  return withRoom.length > 0 ? withRoom : awake
}

function isHealthy ({ endpoint, others, failureShare }: Candidate, meanShare: number, now: number): boolean {
  if (endpoint.health.isPaused(now) || endpoint.isSilent(now)) return false
  return ejectionReason(endpoint, others, failureShare - meanShare, now) === undefined
}
