/**
 * Tells a host that has lost its links to a service from a service that is not well.
 *
 * A host that reaches no endpoint can't know by itself whether the endpoints or its links are at fault. The
 * reports of the other hosts decide: links are at fault if others hear from the very endpoints that this host fails to reach.
 */
import type { EndpointContact } from './ContactTimes.js'

/**
 * Silence of an endpoint with requests of this host that is evidence, in milliseconds. Endpoints may be silent for a
 * second, but not to one host while they answer the others.
 */
const SILENCE_MS = 900

/** Silence after a probe that is evidence, in milliseconds; endpoints answer it without any work. */
const PROBE_SILENCE_MS = 300

/** Endpoints whose contact has to be lost, unless the service has fewer: a single one may have lost its own link. */
const MIN_LOST_ENDPOINTS = 2

/** Time without a byte from any endpoint before which nothing counts as a cut, in milliseconds. */
const MIN_UNHEARD_MS = 250

/** Error of the age of what other hosts have heard, in milliseconds. */
const REPORT_MARGIN_MS = 50

/** Why a service counts as partitioned. */
export interface CutEvidence {
  /** Endpoints that this host has failed to reach since it last heard from any. */
  readonly lostEndpoints: number
  /** Those of them that other hosts have heard from meanwhile. */
  readonly heardByOthers: number
  /** Milliseconds since this host last heard from any endpoint of the service. */
  readonly heardAgoMs: number
}

/**
 * @param contacts - contact with each endpoint of one service
 * @returns the evidence that this host has lost its links to them; undefined if there is too little
 */
export function findCut (contacts: readonly EndpointContact[]): CutEvidence | undefined {
  const heardAgoMs = Math.min(...contacts.map(contact => contact.heardAgoMs))
  if (contacts.length === 0 || heardAgoMs < MIN_UNHEARD_MS) return undefined
  const refusing = contacts.filter(({ failedAgoMs }) => failedAgoMs < heardAgoMs)
  const silent = contacts.filter(contact => !refusing.includes(contact) && isSilent(contact, heardAgoMs))
  const lostEndpoints = refusing.length + silent.length
  const heardByOthers = refusing.filter(({ failingForMs, heardByAnyAgoMs }) => heardByAnyAgoMs + REPORT_MARGIN_MS < Math.min(failingForMs, heardAgoMs)).length +
    silent.filter(({ heardByAnyAgoMs, unansweredProbeMs }) => heardByAnyAgoMs < SILENCE_MS / 2 || heardByAnyAgoMs + REPORT_MARGIN_MS < unansweredProbeMs).length
  // The endpoints are well if one of them is that this host can't reach either; hosts with little to do keep to few of them.
  if (lostEndpoints < Math.min(MIN_LOST_ENDPOINTS, contacts.length) || heardByOthers === 0) return undefined
  return { lostEndpoints, heardByOthers, heardAgoMs }
}

function isSilent ({ unansweredMs, unansweredProbeMs }: EndpointContact, heardAgoMs: number): boolean {
  if (unansweredMs > SILENCE_MS && heardAgoMs > SILENCE_MS) return true
  return unansweredProbeMs > PROBE_SILENCE_MS && heardAgoMs > unansweredProbeMs
}
