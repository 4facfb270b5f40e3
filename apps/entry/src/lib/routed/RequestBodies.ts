/**
 * Bounds the memory that the bodies of callers' requests occupy, from the first byte until the request has ended.
 *
 * A body is read only once it has room for all of its announced length, so bodies that are being read never wait for each
 * other. One that has no room yet waits unread. If room does not become free in time, a body whose caller has stopped
 * sending gives way, or one of a customer that has more than its share; otherwise the waiting request is refused.
 */
import { entryMemoryBudget } from '@eelgrassmux/daemon/MemoryBudget'
import type { HeldBytesBounds } from '@eelgrassmux/routing/admission/HeldBytes'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Why the request of a body is refused. */
export type RefusedBodyDetails = DecisionFields<'request-body-refused'>

/** Part of the bound that the bodies of one customer may occupy while other customers wait for room. */
const CUSTOMER_SHARE = 1 / 2

/** Largest body that counts as small, in bytes. Small bodies have room that large ones may not take, and never give way to large ones. */
const SMALL_BODY_BYTES = 64 * 1024

/** Part of the bound that large bodies may occupy, and part of it that is for what has arrived of bodies that wait unread. */
const LARGE_BODIES_SHARE = 5 / 8
const UNREAD_SHARE = 1 / 4

/** What has arrived of a body that waits unread, in bytes at most: a read of the runtime and a small window of the connection. */
const UNREAD_BODY_BYTES = 64 * 1024

/** Longest wait for room, in milliseconds, and the largest share of the caller's deadline that it may take. */
const MAX_WAIT_MS = 1000
const MAX_WAIT_SHARE = 0.25

/** Time without a byte after which the caller of a body counts as stalled while others wait, in milliseconds; a lost packet is repeated within 200 to 400 ms. */
const STALLED_AFTER_MS = 400

/** Interval at which bodies without progress are looked for while others wait, in milliseconds. */
const CHECK_INTERVAL_MS = 50

/**
 * @param memoryMb - memory of the host in megabytes; 0 if it is not known
 * @returns bounds on the memory of all request bodies, and of those of one customer while others wait
 */
export function requestBodyBounds (memoryMb: number): HeldBytesBounds {
  const totalBytes = entryMemoryBudget(memoryMb).requestBodyBytes
  return { totalBytes, customerBytes: Math.floor(totalBytes * CUSTOMER_SHARE) }
}

/** The request that a body belongs to. */
export interface BodyOwner {
  /** Name of the customer; empty if there is none. */
  readonly customer: string
  /** Milliseconds for which the caller waits, if it states a limit. */
  readonly deadlineMs: number | undefined
  /** Refuses the request, of which nothing has been sent on. */
  refuse (details: RefusedBodyDetails): void
}

/** A wait of one body for room. */
interface RoomWait {
  readonly bytes: number
  readonly since: number
  readonly until: number
  grant (): void
}

/** Memory of one request body. */
export class RequestBody {
  /** Memory that the body may occupy, in bytes. */
  bytes = 0
  /** When the caller last sent bytes of it, in monotonic milliseconds; undefined unless bytes are expected. */
  awaitedSince: number | undefined
  wait: RoomWait | undefined
  isClosed = false

  /**
   * @param owner - the request
   * @param bodies - all bodies of the host
   */
  constructor (readonly owner: BodyOwner, private readonly bodies: RequestBodies) {}

  /**
   * Requests room. The request may be refused instead, before the call returns or later.
   *
   * @param bytes - memory that the body occupies with what it has already, in bytes
   * @param grant - called once there is room
   */
  take (bytes: number, grant: () => void): void {
    this.awaitedSince = undefined
    this.bodies.take(this, bytes, () => {
      this.noteProgress()
      grant()
    })
  }

  /** Notes that the caller has sent bytes. */
  noteProgress (): void {
    this.awaitedSince = performance.now()
  }

  /** Notes that the body is complete; its request is not refused for others any more. */
  noteComplete (): void {
    this.awaitedSince = undefined
  }

  /** Releases the memory, for good. */
  close (): void {
    this.bodies.close(this)
  }
}

/** The request bodies of this host. */
export class RequestBodies {
  readonly #bodies = new Set<RequestBody>()
  readonly #waiting = new Set<RequestBody>()
  readonly #customers = new Map<string, number>()
  readonly #refusals: LabelledCounter
  #totalBytes = 0
  #timer: NodeJS.Timeout | undefined

  /**
   * @param bounds - bounds on the memory
   * @param telemetry - metrics
   */
  constructor (private readonly bounds: HeldBytesBounds, telemetry: Telemetry) {
    this.#refusals = telemetry.labelledCounter('request_bodies_refused_total', 'Requests refused because request bodies occupied too much memory', 'cause')
    telemetry.gauge('request_body_bytes', 'Memory that request bodies may occupy, in bytes', () => this.#totalBytes)
    telemetry.gauge('request_bodies_waiting', 'Request bodies that wait unread for room', () => this.#waiting.size)
  }

  /** Memory of all bodies that have room, in bytes. */
  get totalBytes (): number { return this.#totalBytes }

  /** Number of bodies that wait unread. */
  get waiting (): number { return this.#waiting.size }

  /**
   * @param owner - the request of the body
   * @returns a body without room yet
   */
  open (owner: BodyOwner): RequestBody {
    return new RequestBody(owner, this)
  }

  /**
   * @param body - body that needs room
   * @param bytes - memory that it occupies in all, in bytes
   * @param grant - called once there is room
   */
  take (body: RequestBody, bytes: number, grant: () => void): void {
    if (body.isClosed) return
    const now = performance.now()
    if (this.#hasRoom(body, bytes) && (isSmall(bytes) || !this.#isAwaited())) {
      this.#reserve(body, bytes)
      grant()
      return
    }
    const { deadlineMs = Number.POSITIVE_INFINITY } = body.owner
    body.wait = { bytes, since: now, until: now + Math.min(MAX_WAIT_MS, deadlineMs * MAX_WAIT_SHARE), grant }
    this.#waiting.add(body)
    const neverFits = bytes > this.#limitOf(bytes)
    const fitsUnread = this.#waiting.size * UNREAD_BODY_BYTES <= this.bounds.totalBytes * UNREAD_SHARE
    if (neverFits || !fitsUnread) this.#refuse(body, 'full', now)
    else this.#check(now)
  }

  /** @param body - body whose memory is released */
  close (body: RequestBody): void {
    if (body.isClosed) return
    body.isClosed = true
    body.awaitedSince = undefined
    body.wait = undefined
    this.#waiting.delete(body)
    this.#bodies.delete(body)
    if (body.bytes === 0) return
    this.#reserve(body, 0)
    this.#grantAll()
  }

  /** Most memory that bodies of such a size may occupy together, in bytes. */
  #limitOf (bytes: number): number {
    return this.bounds.totalBytes * (isSmall(bytes) ? 1 - UNREAD_SHARE : LARGE_BODIES_SHARE)
  }

  #hasRoom (body: RequestBody, bytes: number): boolean {
    return this.#totalBytes - body.bytes + bytes <= this.#limitOf(bytes)
  }

  #isAwaited (): boolean {
    for (const { wait } of this.#waiting) if (wait !== undefined && !isSmall(wait.bytes)) return true
    return false
  }

  #reserve (body: RequestBody, bytes: number): void {
    const change = bytes - body.bytes
    body.bytes = bytes
    this.#totalBytes += change
    const { customer } = body.owner
    const customerBytes = (this.#customers.get(customer) ?? 0) + change
    if (customerBytes > 0) this.#customers.set(customer, customerBytes)
    else this.#customers.delete(customer)
    if (bytes > 0) this.#bodies.add(body)
  }

  #customerBytes (body: RequestBody): number {
    return this.#customers.get(body.owner.customer) ?? 0
  }

  /** Gives room to waiting bodies: to small ones first, then to those of customers that have least, then to the smallest, in the order of arrival. */
  #grantAll (): void {
    while (this.#waiting.size > 0) {
      const next = this.#next()
      if (next?.wait === undefined || !this.#hasRoom(next, next.wait.bytes)) return
      this.#grant(next, next.wait)
    }
  }

  #grant (body: RequestBody, { bytes, grant }: RoomWait): void {
    body.wait = undefined
    this.#waiting.delete(body)
    this.#reserve(body, bytes)
    grant()
  }

  #next (): RequestBody | undefined {
    let next: RequestBody | undefined
    for (const body of this.#waiting) if (next === undefined || this.#comesBefore(body, next)) next = body
    return next
  }

  #comesBefore (body: RequestBody, other: RequestBody): boolean {
    const [bytes, otherBytes] = [body, other].map(({ wait }) => wait?.bytes ?? 0) as [number, number]
    if (isSmall(bytes) !== isSmall(otherBytes)) return isSmall(bytes)
    const lead = this.#customerBytes(other) - this.#customerBytes(body)
    return lead > 0 || (lead === 0 && bytes < otherBytes)
  }

  /** Makes room, or refuses those that have waited long enough. */
  #check (now: number): void {
    for (const body of [...this.#waiting]) {
      const { wait } = body
      if (wait === undefined) continue
      if (this.#hasRoom(body, wait.bytes)) {
        // Others come before it, but it has waited as long as it may.
        if (now >= wait.until) this.#grant(body, wait)
        continue
      }
      const giving = this.#bodyToRefuse(body, wait, now)
      if (giving !== undefined) this.#refuse(giving, now - (giving.awaitedSince ?? now) >= STALLED_AFTER_MS ? 'stalled' : 'share', now)
      else if (now >= wait.until) this.#refuse(body, 'full', now)
    }
    this.#grantAll()
    if (this.#waiting.size > 0 && this.#timer === undefined) this.#timer = setTimeout(() => { this.#onTimer() }, CHECK_INTERVAL_MS).unref()
  }

  #onTimer (): void {
    // Expired timers run before sockets are read, so bytes may have come that were not read yet.
    setImmediate(() => {
      this.#timer = undefined
      this.#check(performance.now())
    })
  }

  /** Returns the body that gives way to a waiting one: the oldest without progress, or the newest of a customer that has more than its share. */
  #bodyToRefuse (waiting: RequestBody, wait: RoomWait, now: number): RequestBody | undefined {
    const large = [...this.#bodies].filter(({ awaitedSince, bytes }) => awaitedSince !== undefined && !isSmall(bytes))
    const most = Math.max(...large.map(body => this.#customerBytes(body)))
    const largest = large.filter(body => this.#customerBytes(body) === most)
    const [oldest] = [...(largest.some(body => isStalled(body, now)) ? largest : large)].sort((one, other) => (one.awaitedSince ?? now) - (other.awaitedSince ?? now))
    if (oldest !== undefined && isStalled(oldest, now)) return oldest
    const isBeyondShare = most > this.bounds.customerBytes && most > this.#customerBytes(waiting) + wait.bytes
    return isSmall(wait.bytes) || (now >= wait.until && isBeyondShare) ? largest.at(-1) : undefined
  }

  #refuse (body: RequestBody, cause: RefusedBodyDetails['cause'], now: number): void {
    const { owner, bytes, wait, awaitedSince = now } = body
    const details = {
      cause, customer: owner.customer, bodyBytes: wait?.bytes ?? bytes, customerBytes: this.#customerBytes(body), totalBytes: this.#totalBytes, waiting: this.#waiting.size, waitedMs: Math.round(now - (wait?.since ?? now)), idleMs: Math.round(now - awaitedSince)
    }
    this.#refusals.count(cause)
    // Closed first, so that the end of the request finds nothing to release.
    body.close()
    owner.refuse(details)
  }
}

function isSmall (bytes: number): boolean {
  return bytes <= SMALL_BODY_BYTES
}

function isStalled ({ awaitedSince }: RequestBody, now: number): boolean {
  return awaitedSince !== undefined && now - awaitedSince >= STALLED_AFTER_MS
}
