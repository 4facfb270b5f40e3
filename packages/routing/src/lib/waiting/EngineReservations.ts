/**
 * Reserves engines for the first requests of the queue that find no room.
 *
 * Without reservations, smaller requests take each part of the room that becomes free, and a large request finds
 * enough only when load falls.
 */
import type { EndpointRoom } from './EndpointRoom.js'
import type { EndpointRooms } from './EndpointRooms.js'
import { candidateRooms, isOpenTo, type QueueEntry } from './queueEntry.js'
import type { ReservedEndpoint } from './waitingMessages.js'

/** Engines of a service for each that may be reserved at a time; a service with fewer engines may reserve one. */
const ENGINES_PER_RESERVATION = 8

/** Engines that are reserved. */
export class EngineReservations {
  readonly #entries = new Set<QueueEntry>()

  /** @param rooms - rooms of all endpoints */
  constructor (private readonly rooms: EndpointRooms) {}

  /** Number of reserved engines. */
  get size (): number { return this.#entries.size }

  /**
   * Reserves an engine for an entry without room: the candidate that has least to free.
   *
   * @param entry - the first entry of its service that has neither room nor a reservation
   * @param now - monotonic milliseconds
   * @returns the engine, or undefined if no more may be reserved
   */
  reserve (entry: QueueEntry, now: number): EndpointRoom | undefined {
    const { service } = entry.request
    if (this.ofService(service).length >= Math.max(1, Math.floor(this.rooms.ofService(service).length / ENGINES_PER_RESERVATION))) return undefined
    let best: EndpointRoom | undefined
    for (const room of candidateRooms(entry, this.rooms)) {
      const isUsable = room.endpoint !== undefined && room.reservedFor === undefined && isOpenTo(entry, room, now)
      if (isUsable && (best === undefined || room.deficit(entry.request) < best.deficit(entry.request))) best = room
    }
    if (best === undefined) return undefined
    best.reservedFor = entry
    entry.reserved = best
    this.#entries.add(entry)
    return best
  }

  /** @param entry - entry that is granted, or no longer in the queue */
  release (entry: QueueEntry): void {
    if (entry.reserved === undefined) return
    entry.reserved.reservedFor = undefined
    entry.reserved = undefined
    this.#entries.delete(entry)
  }

  /** Releases the engines that may no longer get requests, or that are no longer candidates of the entry. */
  releaseUnusable (): void {
    for (const entry of this.#entries) {
      const { reserved } = entry
      if (reserved?.endpoint === undefined || !candidateRooms(entry, this.rooms).includes(reserved)) this.release(entry)
    }
  }

  /**
   * @param service - name of a service
   * @returns its reserved engines
   */
  ofService (service: string): ReservedEndpoint[] {
    const reserved: ReservedEndpoint[] = []
    for (const entry of this.#entries) {
      if (entry.request.service === service && entry.reserved !== undefined) reserved.push({ endpoint: entry.reserved.incarnation, urgency: entry.request.urgency })
    }
    return reserved
  }
}
