/**
 * Keeps the room of all endpoints up to date with each load report.
 *
 * The totals of a LoadAggregator are computed anew for all hosts and are up to 25 ms old. Here, only the difference
 * between a host's reports is added, so that freed room is known as soon as it is reported.
 */
import type { LoadReport } from '../load/loadReport.js'
import { EndpointRoom, type EndpointUse, type OrderedEndpoint } from './EndpointRoom.js'

/** Time without a load report after which a host's load is dropped, in milliseconds. */
const HOST_TIMEOUT_MS = 1000

const NO_USE: EndpointUse = { inFlight: 0, heldTokens: 0, pendingTokens: 0 }

interface HostUse {
  readonly uses: ReadonlyMap<string, EndpointUse>
  readonly receivedAt: number
}

/** Room that a load report shows to be free. */
export interface FreedRoom {
  readonly service: string
  readonly requests: number
  readonly tokens: number
}

/** Rooms by incarnation, and the latest load of each host. */
export class EndpointRooms {
  readonly #rooms = new Map<string, EndpointRoom>()
  readonly #hosts = new Map<string, HostUse>()
  #byService = new Map<string, EndpointRoom[]>()

  /** Changes whenever the endpoints do. */
  version = 0

  /** All rooms that hosts or grants use, or that may be granted. */
  get all (): Iterable<EndpointRoom> { return this.#rooms.values() }

  /**
   * @param incarnation - incarnation of an endpoint
   * @returns its room, created if it is unknown
   */
  room (incarnation: string): EndpointRoom {
    let room = this.#rooms.get(incarnation)
    if (room === undefined) {
      room = new EndpointRoom(incarnation)
      this.#rooms.set(incarnation, room)
    }
    return room
  }

  /**
   * @param incarnation - incarnation of an endpoint
   * @returns its room, or undefined if the endpoint is unknown
   */
  find (incarnation: string): EndpointRoom | undefined {
    return this.#rooms.get(incarnation)
  }

  /**
   * @param service - name of a service
   * @returns rooms of its endpoints that may get requests
   */
  ofService (service: string): readonly EndpointRoom[] {
    return this.#byService.get(service) ?? []
  }

  /** @param endpoints - all endpoints that may get requests */
  setEndpoints (endpoints: readonly OrderedEndpoint[]): void {
    for (const room of this.#rooms.values()) room.endpoint = undefined
    this.#byService = new Map()
    for (const endpoint of endpoints) {
      const room = this.room(endpoint.incarnation)
      room.endpoint = endpoint
      const rooms = this.#byService.get(endpoint.service)
      if (rooms === undefined) this.#byService.set(endpoint.service, [room])
      else rooms.push(room)
    }
    for (const [incarnation, room] of this.#rooms) {
      if (room.endpoint === undefined && room.isIdle) this.#rooms.delete(incarnation)
    }
    this.version += 1
  }

  /**
   * Replaces the load of a host.
   *
   * @param report - latest load report of the host
   * @param now - monotonic milliseconds
   * @param onFreed - called for each endpoint at which the host has less than before
   */
  observeLoad (report: Pick<LoadReport, 'host' | 'work'>, now: number, onFreed: (freed: FreedRoom) => void): void {
    const previous = this.#hosts.get(report.host)?.uses
    const uses = new Map<string, EndpointUse>()
    for (const work of report.work) {
      if (work.inFlight > 0 || work.heldTokens > 0) uses.set(work.endpoint, work)
    }
    for (const [incarnation, use] of uses) this.#replace(incarnation, previous?.get(incarnation) ?? NO_USE, use, onFreed)
    for (const [incarnation, use] of previous ?? []) {
      if (!uses.has(incarnation)) this.#replace(incarnation, use, NO_USE, onFreed)
    }
    this.#hosts.set(report.host, { uses, receivedAt: now })
  }

  /**
   * Drops the load of hosts that have stopped to report.
   *
   * @param now - monotonic milliseconds
   */
  dropSilentHosts (now: number): void {
    for (const [host, { uses, receivedAt }] of this.#hosts) {
      if (now - receivedAt <= HOST_TIMEOUT_MS) continue
      this.#hosts.delete(host)
      for (const [incarnation, use] of uses) this.#rooms.get(incarnation)?.addUse(use, -1)
    }
  }

  #replace (incarnation: string, previous: EndpointUse, use: EndpointUse, onFreed: (freed: FreedRoom) => void): void {
    const room = this.room(incarnation)
    room.addUse(previous, -1)
    room.addUse(use, 1)
    const requests = Math.max(0, previous.inFlight - use.inFlight)
    const tokens = Math.max(0, previous.heldTokens - use.heldTokens)
    if (room.endpoint === undefined || (requests === 0 && tokens === 0 && use.pendingTokens >= previous.pendingTokens)) return
    onFreed({ service: room.endpoint.service, requests, tokens })
  }
}
