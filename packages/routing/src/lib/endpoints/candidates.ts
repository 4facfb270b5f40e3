/** Selects the endpoints that may take a request. */
import { NO_ENDPOINT_LOAD, type LoadFigures } from '../load/loadReport.js'
import type { AllHeldBack, EndpointQuery, HoldBackReason, NoEndpointReason, PromptQuery } from './endpointQuery.js'
import type { EndpointState } from './EndpointState.js'
import { ejectionReason, isUnreachableByAll, sharedFailureShare } from './sharedObservations.js'

/** An endpoint with the work and observations that other hosts have reported for it. */
export interface Candidate {
  readonly endpoint: EndpointState
  readonly others: LoadFigures
  readonly failureShare: number
}

/**
 * @param endpoints - all endpoints of the service
 * @param query - requirements of the request
 * @param now - monotonic milliseconds
 * @returns endpoints that may take the request, or the reason why there is none
 */
export function candidatesFor (endpoints: readonly EndpointState[], query: EndpointQuery, now: number): readonly Candidate[] | NoEndpointReason {
  const notLeaving = endpoints.filter(endpoint => !endpoint.isLeaving)
  if (notLeaving.length === 0) return 'none-listed'
  const inRegions = notLeaving.filter(endpoint => query.regionBound?.allows(endpoint.listed.dataCentre) !== false)
  if (inRegions.length === 0) return 'none-in-regions'
  const open = inRegions.filter(endpoint => query.evacuated?.has(endpoint.listed.dataCentre) !== true)
  if (open.length === 0) return 'all-evacuated'
  const ofSoftware = query.requiredSoftware === undefined ? open : open.filter(({ listed }) => listed.software === query.requiredSoftware?.version)
  if (ofSoftware.length === 0) return 'none-of-software'
  const untried = ofSoftware.filter(endpoint => !query.excluded.has(endpoint.id))
  if (untried.length === 0) return 'all-tried'
  const ofWeights = ofVersion(untried, query.prompt)
  if (ofWeights.length === 0) return 'none-of-version'
  const candidates = ofWeights.map(endpoint => asCandidate(endpoint, query, now))
  for (const candidate of candidates) markIfUnreachable(candidate, now)
  const reasons = new Set<HoldBackReason>()
  const allowed = candidates.filter(({ endpoint }) => {
    const reason = query.holdBackReason?.(endpoint)
    if (reason !== undefined) reasons.add(reason)
    return reason === undefined
  })
  return allowed.length === 0 ? allHeldBack(reasons) : preferred(withoutAvoided(allowed, query), now)
}

function withoutAvoided (candidates: readonly Candidate[], { avoidedSoftware }: EndpointQuery): readonly Candidate[] {
  if (avoidedSoftware === undefined) return candidates
  const others = candidates.filter(({ endpoint }) => !avoidedSoftware.has(endpoint.listed.software))
  return others.length > 0 ? others : candidates
}

function allHeldBack (reasons: ReadonlySet<HoldBackReason>): AllHeldBack {
  const [reason] = reasons
  return reasons.size > 1 || reason === undefined ? 'all-held-back' : `all-${reason}`
}

/** Keeps the endpoints with the newest weights that may be used; a request that began on a version continues on it. */
function ofVersion (endpoints: readonly EndpointState[], prompt: PromptQuery | undefined): readonly EndpointState[] {
  if (prompt === undefined) return endpoints
  const { model } = prompt.description
  const serving = endpoints.filter(endpoint => endpoint.version(model) !== undefined)
  if (prompt.requiredVersion !== undefined) return serving.filter(endpoint => endpoint.version(model) === prompt.requiredVersion)
  const desired = serving.filter(endpoint => (endpoint.version(model) ?? 0) >= prompt.desiredVersion)
  return desired.length > 0 ? desired : serving
}

function asCandidate (endpoint: EndpointState, query: EndpointQuery, now: number): Candidate {
  const others = query.others?.forEndpoint(endpoint.incarnation) ?? NO_ENDPOINT_LOAD
  return { endpoint, others, failureShare: sharedFailureShare(endpoint, others, now) }
}

/** An endpoint that no host can reach may have restarted, and may be cold, by the time it is reached again. */
function markIfUnreachable ({ endpoint, others }: Candidate, now: number): void {
  if (endpoint.health.isUnreachable(now) || isUnreachableByAll(endpoint, others, now)) endpoint.markUnavailable(now)
}

/** Prefers healthy endpoints with room, then any healthy ones, then any. */
function preferred (candidates: readonly Candidate[], now: number): readonly Candidate[] {
  const meanShare = candidates.reduce((sum, candidate) => sum + candidate.failureShare, 0) / candidates.length
  const healthy = candidates.filter(candidate => isHealthy(candidate, meanShare, now))
  const eligible = healthy.length > 0 ? healthy : candidates
  const idle = eligible.filter(({ endpoint }) => !endpoint.isBusy(now))
  const available = idle.length > 0 ? idle : eligible
  const withRoom = available.filter(({ endpoint }) => !endpoint.isFull(now))
  return withRoom.length > 0 ? withRoom : available
}

function isHealthy ({ endpoint, others, failureShare }: Candidate, meanShare: number, now: number): boolean {
  if (endpoint.health.isPaused(now) || endpoint.isSilent(now)) return false
  return ejectionReason(endpoint, others, failureShare - meanShare, now) === undefined
}
