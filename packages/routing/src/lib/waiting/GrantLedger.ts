/** Counts granted requests at their endpoints until the load reports of their hosts include them. */
import type { EndpointRoom } from './EndpointRoom.js'
import type { WaitingRequest } from './waitingMessages.js'

/**
 * Age from which a grant whose outcome is unknown is included in a load report of its host, in milliseconds: the host
 * has received the grant and sent the request, and its report has reached the leader.
 */
const REPORTED_AFTER_MS = 20

/** Age at which a grant no longer counts, in milliseconds. Hosts report their changes after at most 250 ms. */
const GRANT_LIFETIME_MS = 300

interface CountedGrant {
  readonly request: Pick<WaitingRequest, 'tokens' | 'prefillTokens'>
  readonly room: EndpointRoom
  readonly grantedAt: number
  /** Time from which load reports of the host include the request. */
  includedFrom: number
}

/** Grants that count, by host and ticket. */
export class GrantLedger {
  readonly #hosts = new Map<string, Map<number, CountedGrant>>()
  #size = 0

  /** Number of grants that count. */
  get size (): number { return this.#size }

  /**
   * @param host - host of the request
   * @param request - granted request
   * @param room - endpoint that it is granted
   * @param now - monotonic milliseconds
   */
  add (host: string, request: WaitingRequest, room: EndpointRoom, now: number): void {
    this.remove(host, request.ticket)
    const grants = this.#hosts.get(host) ?? new Map<number, CountedGrant>()
    room.addGrant(request, 1)
    grants.set(request.ticket, { request, room, grantedAt: now, includedFrom: now + REPORTED_AFTER_MS })
    this.#hosts.set(host, grants)
    this.#size += 1
  }

  /**
   * Removes a grant that was not used.
   *
   * @param host - host of the request
   * @param ticket - ticket of the request
   * @returns the endpoint that was granted, or undefined if the grant no longer counts
   */
  remove (host: string, ticket: number): EndpointRoom | undefined {
    const grants = this.#hosts.get(host)
    const grant = grants?.get(ticket)
    if (grants === undefined || grant === undefined) return undefined
    grants.delete(ticket)
    if (grants.size === 0) this.#hosts.delete(host)
    grant.room.addGrant(grant.request, -1)
    this.#size -= 1
    return grant.room
  }

  /**
   * Records that the host has sent a request: its next load report includes it.
   *
   * @param host - host of the request
   * @param ticket - ticket of the request
   * @param now - monotonic milliseconds
   */
  recordSent (host: string, ticket: number, now: number): void {
    const grant = this.#hosts.get(host)?.get(ticket)
    if (grant !== undefined) grant.includedFrom = Math.min(grant.includedFrom, now)
  }

  /**
   * Removes the grants that a load report includes.
   *
   * @param host - host that has reported its load
   * @param now - monotonic milliseconds
   */
  observeLoadReport (host: string, now: number): void {
    for (const [ticket, { includedFrom }] of this.#hosts.get(host) ?? []) {
      if (includedFrom <= now) this.remove(host, ticket)
    }
  }

  /**
   * Removes grants that no longer count.
   *
   * @param now - monotonic milliseconds
   */
  expire (now: number): void {
    for (const [host, grants] of this.#hosts) {
      for (const [ticket, { grantedAt }] of grants) {
        if (now - grantedAt >= GRANT_LIFETIME_MS) this.remove(host, ticket)
      }
    }
  }
}
