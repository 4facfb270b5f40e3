/**
 * Keeps the waiting requests of all hosts in one order, and decides which of them are sent.
 *
 * Without it, each host serves its own waiting requests when it happens to find room: small requests always get in
 * before large ones, and customers on hosts with little load before those on hosts with much.
 *
 * Hosts state all that waits with each question, so the order can be rebuilt at any time, and a lost datagram needs
 * no retry. A request is granted an endpoint only while its host has an open question, since there is no other way
 * to tell the host.
 */
import type { LoadReport } from '../load/loadReport.js'
import type { EndpointRoom, EndpointUse, OrderedEndpoint } from './EndpointRoom.js'
import { EndpointRooms } from './EndpointRooms.js'
import { EngineReservations } from './EngineReservations.js'
import { GrantLedger } from './GrantLedger.js'
import { avoid, findRoom, type QueueEntry } from './queueEntry.js'
import { ServiceQueue } from './ServiceQueue.js'
import { HOLD_MS, WaitingHosts, type WaitingHost } from './WaitingHosts.js'
import { GRANT_VALIDITY_MS, type GrantOutcome, type ReservedEndpoint, type WaitingAnswer, type WaitingReport, type WaitingRequest } from './waitingMessages.js'

/** Most requests in the queue; requests beyond it are taken in with a later question. */
export const MAX_WAITING = 16_384

/** Time after which a grant without a known outcome is given again, in milliseconds: its validity, and the way of the answer. */
const GRANT_RETURN_MS = GRANT_VALIDITY_MS + 50

/** Factor by which an estimate may be too long. A request that waits is refused only if it would come too late even then. */
const ESTIMATE_TOLERANCE = 1.3

/**
 * The same for a request whose wait is estimated for the first time. Callers leave before a queue is longer than their
 * patience, so with a tolerance here, no request would be refused on arrival, and most of those that can't be served
 * would be refused after half of their caller's patience.
 */
const ARRIVAL_TOLERANCE = 1

/** What is decided about a request, or noted about the queue. */
export type WaitingDecisionKind =
  | 'granted'
  /** Its host could not use the grant. */
  | 'returned'
  /** The outcome of the grant is unknown, and the request still waits. */
  | 'expired'
  | 'refused'
  /** An engine is reserved for the request. */
  | 'reserved'
  /** The queue was full. */
  | 'beyond-bound'
  /** Its host was silent. */
  | 'host-lost'

/** One decision. */
export interface WaitingDecision {
  readonly kind: WaitingDecisionKind
  readonly host: string
  readonly request: WaitingRequest
  /** Milliseconds since the request arrived. */
  readonly waitedMs: number
  /** Requests that wait for the service without a grant. */
  readonly waiting: number
  /** Incarnation of the granted or reserved endpoint. */
  readonly endpoint?: string | undefined
  /** For refusals: milliseconds after which the request could be served. */
  readonly retryAfterMs?: number
}

/** Figures for metrics. */
export interface WaitingFigures {
  readonly waiting: number
  readonly hosts: number
  readonly reserved: number
  readonly grants: number
}

/** Shared order of waiting requests. */
export class WaitingOrder {
  readonly #rooms = new EndpointRooms()
  readonly #hosts = new WaitingHosts()
  readonly #services = new Map<string, ServiceQueue>()
  readonly #ledger = new GrantLedger()
  readonly #reservations = new EngineReservations(this.#rooms)
  #waiting = 0

  /** @param record - called with each decision */
  constructor (private readonly record: (decision: WaitingDecision) => void = () => {}) {}

  /** Whether no host has reported waiting requests within the last second. */
  get isIdle (): boolean { return this.#hosts.size === 0 && this.#services.size === 0 }

  /** Time at which the next question has been held for long enough; undefined if no question is open. */
  get answerDueAt (): number | undefined { return this.#hosts.answerDueAt }

  get figures (): WaitingFigures {
    return { waiting: this.#waiting, hosts: this.#hosts.size, reserved: this.#reservations.size, grants: this.#ledger.size }
  }

  /** @param endpoints - all endpoints that may get requests, with their limits */
  setEndpoints (endpoints: readonly OrderedEndpoint[]): void {
    this.#rooms.setEndpoints(endpoints)
    this.#reservations.releaseUnusable()
  }

  /**
   * Replaces the load of a host.
   *
   * @param report - the host's latest load report
   * @param now - monotonic milliseconds
   * @returns whether it shows room that was not free before, at a service for which requests wait
   */
  observeLoad (report: Pick<LoadReport, 'host' | 'work'>, now: number): boolean {
    let isWanted = false
    this.#rooms.observeLoad(report, now, ({ service }) => { isWanted ||= this.#services.get(service)?.isBacklogged === true })
    this.#ledger.observeLoadReport(report.host, now)
    return isWanted
  }

  /**
   * Takes the question of a host, which replaces an open one.
   *
   * @param report - the question
   * @param now - monotonic milliseconds
   * @returns whether it will be answered; not if it is older than another one
   */
  takeReport (report: WaitingReport, now: number): boolean {
    const host = this.#hosts.recordQuestion(report.host, report.sequence, now)
    if (host === undefined) return false
    for (const { endpoint, occupancy } of report.rejections ?? []) this.#rooms.find(endpoint)?.observeRejection(occupancy, now)
    for (const outcome of report.outcomes) this.#settle(host, outcome, now)
    this.#replaceEntries(host, report.waiting, now)
    return true
  }

  /**
   * Decides about all waiting requests.
   *
   * @param now - monotonic milliseconds
   * @param isLoadKnown - whether all hosts have had the time to report their load; nothing is granted or refused before
   * @returns answers to the questions that need not be held any longer, by host
   */
  decide (now: number, isLoadKnown = true): Map<string, WaitingAnswer> {
    for (const host of this.#hosts.takeSilent(now)) this.#dropHost(host, now)
    this.#rooms.dropSilentHosts(now)
    this.#ledger.expire(now)
    this.#reservations.releaseUnusable()
    for (const [service, queue] of this.#services) {
      queue.advance(now)
      if (!queue.isContended(now) && queue.isEmpty) this.#services.delete(service)
      else if (isLoadKnown) this.#decideService(service, queue, now)
    }
    return this.#collectAnswers(now)
  }

  /**
   * Returns the load that hosts don't report yet: outstanding grants, and the requests for which engines are reserved.
   * Without the latter, all hosts would send what doesn't wait to the reserved engines, since these are the emptiest.
   *
   * @returns load by incarnation
   */
  expectedLoad (): ReadonlyMap<string, EndpointUse> {
    const loads = new Map<string, EndpointUse>()
    if (this.#ledger.size === 0 && this.#reservations.size === 0) return loads
    for (const room of this.#rooms.all) {
      const { granted, reservedFor } = room
      if (granted.inFlight === 0 && reservedFor === undefined) continue
      loads.set(room.incarnation, { ...granted, heldTokens: granted.heldTokens + (reservedFor?.request.tokens ?? 0) })
    }
    return loads
  }

  #settle (host: WaitingHost, { ticket, wasSent }: GrantOutcome, now: number): void {
    const entry = host.entries.get(ticket)
    if (wasSent) {
      this.#ledger.recordSent(host.name, ticket, now)
      // A request that was sent and still waits was rejected by its endpoint, and keeps its age.
      if (entry !== undefined) entry.isSent = true
      return
    }
    const room = this.#ledger.remove(host.name, ticket)
    if (entry?.grantedAt === undefined) return
    this.#services.get(entry.request.service)?.charge(entry, -1, now)
    if (room !== undefined) avoid(entry, room, now)
    this.#record('returned', entry, now, { endpoint: room?.incarnation })
  }

  #replaceEntries (host: WaitingHost, waiting: readonly WaitingRequest[], now: number): void {
    const previous = host.entries
    host.entries = new Map()
    for (const request of waiting) {
      const entry = previous.get(request.ticket)
      if (host.entries.has(request.ticket)) continue
      if (entry !== undefined && entry.request.service === request.service) {
        previous.delete(request.ticket)
        this.#update(entry, request, now)
        host.entries.set(request.ticket, entry)
      } else this.#add(host, request, now)
    }
    for (const entry of previous.values()) this.#remove(entry)
  }

  #add (host: WaitingHost, request: WaitingRequest, now: number): void {
    const queue = this.#queueOf(request.service)
    if (this.#waiting >= MAX_WAITING) {
      this.record({ kind: 'beyond-bound', host: host.name, request, waitedMs: request.ageMs, waiting: queue.waiting })
      return
    }
    this.#waiting += 1
    host.entries.set(request.ticket, queue.add(host.name, request, now))
  }

  #update (entry: QueueEntry, request: WaitingRequest, now: number): void {
    const queue = this.#queueOf(request.service)
    entry.request = request
    entry.leavesAt = now + request.patienceMs
    entry.roomsVersion = -1
    const { isSent, grantedAt } = entry
    entry.isSent = false
    // A grant that the host doesn't know was in an answer that is lost.
    if (grantedAt === undefined || (!isSent && now - grantedAt < GRANT_RETURN_MS)) return
    queue.charge(entry, -1, now)
    this.#ledger.remove(entry.host, request.ticket)
    if (!isSent) this.#record('expired', entry, now)
  }

  #remove (entry: QueueEntry): void {
    this.#reservations.release(entry)
    this.#services.get(entry.request.service)?.remove(entry)
    this.#waiting -= 1
  }

  #dropHost (host: WaitingHost, now: number): void {
    for (const entry of host.entries.values()) {
      // A host whose last requests were granted has nothing more to ask.
      if (entry.grantedAt === undefined) this.#record('host-lost', entry, now)
      this.#remove(entry)
    }
  }

  #queueOf (service: string): ServiceQueue {
    let queue = this.#services.get(service)
    if (queue === undefined) {
      queue = new ServiceQueue()
      this.#services.set(service, queue)
    }
    return queue
  }

  #decideService (service: string, queue: ServiceQueue, now: number): void {
    const rooms = this.#rooms.ofService(service)
    // Grants only reduce it. Under load, it saves the search for most requests.
    let largestFit = Number.NEGATIVE_INFINITY
    for (const room of rooms) {
      room.workMs = queue.workMs
      largestFit = Math.max(largestFit, room.largestFit(now))
    }
    const ahead = queue.createWorkAhead(now)
    const isRateKnown = queue.rate.perMs !== undefined
    let mayReserve = true
    for (const entry of queue.ordered(now)) {
      if (entry.grantedAt !== undefined) continue
      const host = this.#hosts.find(entry.host)
      const isAsking = host?.askedAt !== undefined
      const room = isAsking && entry.request.tokens <= largestFit ? findRoom(entry, this.#rooms, now) : undefined
      const waitMs = room === undefined ? ahead.waitMs(entry) : 0
      const tolerance = entry.isAdmitted ? ESTIMATE_TOLERANCE : ARRIVAL_TOLERANCE
      entry.isAdmitted ||= isRateKnown
      if (host !== undefined && isAsking && isHopeless(entry, waitMs, now, tolerance)) this.#refuse(host, entry, waitMs, now)
      else if (host !== undefined && room !== undefined) this.#grant(host, entry, room, now)
      else {
        queue.leaveWaiting(entry)
        ahead.add(entry)
        if (mayReserve && entry.reserved === undefined) mayReserve = this.#reserve(entry, now)
      }
    }
  }

  #grant (host: WaitingHost, entry: QueueEntry, room: EndpointRoom, now: number): void {
    const { request } = entry
    this.#reservations.release(entry)
    this.#ledger.add(host.name, request, room, now)
    this.#services.get(request.service)?.charge(entry, 1, now)
    host.grants.push({ ticket: request.ticket, endpoint: room.incarnation, validMs: GRANT_VALIDITY_MS })
    this.#record('granted', entry, now, { endpoint: room.incarnation })
  }

  #refuse (host: WaitingHost, entry: QueueEntry, waitMs: number, now: number): void {
    const patienceMs = entry.leavesAt - entry.arrivedAt
    // A caller that comes back then has half of its patience to spare for requests that come before it.
    const retryAfterMs = Math.max(0, waitMs + entry.request.workMs - patienceMs / 2)
    host.refusals.push({ ticket: entry.request.ticket, retryAfterMs })
    this.#record('refused', entry, now, { retryAfterMs })
    host.entries.delete(entry.request.ticket)
    this.#remove(entry)
  }

  #reserve (entry: QueueEntry, now: number): boolean {
    if (entry.request.kind !== 'engine') return false
    const room = this.#reservations.reserve(entry, now)
    if (room !== undefined) this.#record('reserved', entry, now, { endpoint: room.incarnation })
    return room !== undefined
  }

  #collectAnswers (now: number): Map<string, WaitingAnswer> {
    const answers = new Map<string, WaitingAnswer>()
    let contended: readonly string[] | undefined
    for (const host of this.#hosts.all) {
      const { askedAt, grants, refusals, entries } = host
      const isDue = grants.length > 0 || refusals.length > 0 || entries.size === 0
      if (askedAt === undefined || (!isDue && now - askedAt < HOLD_MS)) continue
      contended ??= [...this.#services].filter(([, queue]) => queue.isContended(now)).map(([service]) => service)
      answers.set(host.name, { sequence: host.sequence, grants, refusals, reserved: this.#reservedFor(host), contended })
      host.askedAt = undefined
      host.grants = []
      host.refusals = []
    }
    return answers
  }

  /** Returns the reserved engines of the services for which the host has waiting requests. */
  #reservedFor ({ entries }: WaitingHost): readonly ReservedEndpoint[] {
    if (this.#reservations.size === 0) return []
    const services = new Set<string>()
    for (const { request } of entries.values()) services.add(request.service)
    return [...services].flatMap(service => this.#reservations.ofService(service))
  }

  #record (kind: WaitingDecisionKind, entry: QueueEntry, now: number, details: Pick<WaitingDecision, 'endpoint' | 'retryAfterMs'> = {}): void {
    const waiting = this.#services.get(entry.request.service)?.waiting ?? 0
    this.record({ kind, host: entry.host, request: entry.request, waitedMs: now - entry.arrivedAt, waiting, ...details })
  }
}

/** Returns whether a request comes too late for its caller after a wait. */
function isHopeless ({ request, leavesAt }: QueueEntry, waitMs: number, now: number, tolerance: number): boolean {
  return waitMs + request.workMs > (leavesAt - now) * tolerance
}
