import type { CustomerAccount } from './CustomerShares.js'
import type { EndpointRoom } from './EndpointRoom.js'
import type { EndpointRooms } from './EndpointRooms.js'
import type { WaitingRequest } from './waitingMessages.js'
import { PATIENCE_SHARE_BEFORE_FIRST } from './waitingRank.js'

/** Time for which a request is not granted an endpoint that its host could not use, in milliseconds. */
const AVOIDANCE_MS = 500

/** A waiting request in the leader's queue. */
export interface QueueEntry {
  readonly host: string
  readonly account: CustomerAccount
  /** As the host stated it last. */
  request: WaitingRequest
  readonly arrivedAt: number
  /** Time at which its caller leaves. */
  leavesAt: number
  /** Set by the sort: lower ranks go first, and within a rank lower tags. */
  rank: number
  tag: number
  /** When it was granted; undefined if it has no valid grant. */
  grantedAt: number | undefined
  /** What the grant has added to what its customer has received. */
  charged: number
  /** Whether its host has sent it; if it waits again, its endpoint has rejected it. */
  isSent: boolean
  /** Whether its wait has been estimated and was short enough. */
  isAdmitted: boolean
  /** Whether it is no longer in the queue. */
  isRemoved: boolean
  /** Engine that is reserved for it. */
  reserved: EndpointRoom | undefined
  /** Endpoint that its host could not use, until a time. */
  avoided: { readonly room: EndpointRoom, readonly until: number } | undefined
  /** Endpoints that may take it, as of a version of the rooms. */
  rooms: readonly EndpointRoom[]
  roomsVersion: number
}

/**
 * @param request - a waiting request
 * @returns what it takes of its service: tokens of engines, or one call
 */
export function costOf ({ kind, tokens }: WaitingRequest): number {
  return kind === 'engine' ? Math.max(1, tokens) : 1
}

/**
 * @param entry - an entry
 * @returns time from which it is first: most of its caller's patience has passed
 */
export function firstFrom ({ arrivedAt, leavesAt }: QueueEntry): number {
  return arrivedAt + (leavesAt - arrivedAt) * PATIENCE_SHARE_BEFORE_FIRST
}

/**
 * Notes that the host of an entry could not use its grant.
 *
 * @param entry - the entry
 * @param room - endpoint that was granted
 * @param now - monotonic milliseconds
 */
export function avoid (entry: QueueEntry, room: EndpointRoom, now: number): void {
  entry.avoided = { room, until: now + AVOIDANCE_MS }
}

/**
 * Finds the endpoint that an entry is granted now.
 *
 * @param entry - an entry
 * @param rooms - rooms of all endpoints
 * @param now - monotonic milliseconds
 * @returns its first candidate with room, or without candidates the emptiest endpoint of its service; undefined if there is no room
 */
export function findRoom (entry: QueueEntry, rooms: EndpointRooms, now: number): EndpointRoom | undefined {
  const isFree = (room: EndpointRoom): boolean => isOpenTo(entry, room, now) && entry.request.tokens <= room.largestFit(now)
  const candidates = candidateRooms(entry, rooms)
  if (entry.request.candidates.length > 0) return candidates.find(isFree)
  let best: EndpointRoom | undefined
  for (const room of candidates) {
    if (isFree(room) && (best === undefined || room.fullness(now) < best.fullness(now))) best = room
  }
  return best
}

/**
 * @param entry - an entry
 * @param rooms - rooms of all endpoints
 * @returns rooms of the endpoints that may take it
 */
export function candidateRooms (entry: QueueEntry, rooms: EndpointRooms): readonly EndpointRoom[] {
  const { candidates, service } = entry.request
  if (candidates.length === 0) return rooms.ofService(service)
  if (entry.roomsVersion !== rooms.version) {
    entry.rooms = candidates.flatMap(candidate => rooms.find(candidate) ?? [])
    entry.roomsVersion = rooms.version
  }
  return entry.rooms
}

/**
 * @param entry - an entry
 * @param room - room of an endpoint
 * @param now - monotonic milliseconds
 * @returns whether the endpoint is not reserved for another entry, and was usable for this one's host
 */
export function isOpenTo (entry: QueueEntry, room: EndpointRoom, now: number): boolean {
  if (room.reservedFor !== undefined && room.reservedFor !== entry) return false
  return entry.avoided === undefined || entry.avoided.room !== room || now >= entry.avoided.until
}
