/** Headers and checks between entry hosts about requests that one relays to another. */
import type { EndpointRequest } from '../routed/EndpointConnection.js'
import { endToEndHeaders } from '../routed/headers.js'

/** Header of a relayed request: the ticket of the host that is partitioned, and the age of the request in milliseconds. */
export const RELAY_HEADER = 'eelgrassmux-relay'

/** Header of a refusal of a relayed request that another host may accept; the request has not run. */
export const RELAY_REFUSED_HEADER = 'eelgrassmux-relay-refused'

/** Path at which hosts answer that they have taken a connection. The method is safe, since a host without this path may route the request. */
const CHECK_PATH = '/.well-known/eelgrassmux/relay-check'
const CHECK_METHOD = 'OPTIONS'

/** What a relayed request states. */
export interface RelayStatement {
  readonly ticket: string
  /** Milliseconds since the caller's request was read. */
  readonly ageMs: number
}

/**
 * @param headers - alternating names and values of a request
 * @returns what the request states, if it states that it is relayed
 */
export function readRelayHeader (headers: readonly string[]): RelayStatement | undefined {
  const at = headers.findIndex((header, index) => index % 2 === 0 && header.toLowerCase() === RELAY_HEADER)
  if (at < 0) return undefined
  const [ticket = '', age = ''] = (headers[at + 1] ?? '').split(' ')
  const ageMs = Number(age)
  return { ticket, ageMs: age !== '' && Number.isFinite(ageMs) && ageMs >= 0 ? ageMs : 0 }
}

/**
 * @param headers - headers of the caller's request
 * @param statement - what to state about it
 * @returns headers of the request to another host
 */
export function writeRelayHeaders (headers: readonly string[], { ticket, ageMs }: RelayStatement): string[] {
  const kept = endToEndHeaders(headers, name => name === 'content-length' || name === RELAY_HEADER)
  kept.push(RELAY_HEADER, `${ticket} ${Math.round(ageMs)}`)
  return kept
}

/**
 * @param headers - headers of another host's response
 * @returns whether another host may accept the request, which has not run
 */
export function isRelayRefused (headers: readonly string[]): boolean {
  return headers.some((header, index) => index % 2 === 0 && header.toLowerCase() === RELAY_REFUSED_HEADER)
}

/**
 * @param ticket - ticket of the host that is partitioned
 * @returns a request that does nothing, for a new connection to another host
 */
export function connectionCheck (ticket: string): EndpointRequest {
  return { method: CHECK_METHOD, target: CHECK_PATH, headers: [RELAY_HEADER, `${ticket} 0`], body: undefined }
}

/**
 * @param method - method of a relayed request
 * @param target - its path
 * @returns whether it only checks its connection
 */
export function isConnectionCheck (method: string | undefined, target: string | undefined): boolean {
  return method === CHECK_METHOD && target === CHECK_PATH
}
