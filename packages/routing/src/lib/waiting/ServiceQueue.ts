/** The waiting requests of one service, in order. */
import { CustomerShares, receivedAboveFloor } from './CustomerShares.js'
import { DrainRate } from './DrainRate.js'
import { costOf, type QueueEntry } from './queueEntry.js'
import { WorkAhead } from './waitEstimate.js'
import type { WaitingRequest } from './waitingMessages.js'
import { waitingRank } from './waitingRank.js'

/** Age of an order from which it is sorted again although nothing has come or gone, in milliseconds: requests move up as they wait. */
const ORDER_LIFETIME_MS = 50

/** Time after the last waiting request for which the service counts as contended, in milliseconds. */
const CONTENDED_MS = 1000

/** Weight of the newest call in the mean duration of answers. */
const WORK_SMOOTHING = 0.05

/** Queue of one service. */
export class ServiceQueue {
  readonly rate = new DrainRate()
  readonly #shares = new CustomerShares()
  #size = 0
  #granted = 0
  /** Entries by arrival, by the last order, and since; removed ones are left out with the next sort. */
  #arrivals: QueueEntry[] = []
  #ordered: QueueEntry[] = []
  #added: QueueEntry[] = []
  #orderedAt = Number.NEGATIVE_INFINITY
  #waitedAt = Number.NEGATIVE_INFINITY
  #isBacklogged = false
  /** Mean duration of an answer as stated by the hosts, in milliseconds. */
  workMs: number | undefined

  /** Whether the last decision left requests waiting. */
  get isBacklogged (): boolean { return this.#isBacklogged }

  /** Requests without a valid grant. */
  get waiting (): number { return this.#size - this.#granted }

  /** Whether there are no requests, not even granted ones whose hosts have not asked again. */
  get isEmpty (): boolean { return this.#size === 0 }

  /**
   * @param host - host of the request
   * @param request - a request that begins to wait
   * @param now - monotonic milliseconds
   * @returns its entry
   */
  add (host: string, request: WaitingRequest, now: number): QueueEntry {
    const entry: QueueEntry = {
      host,
      account: this.#shares.join(request.customer, request.urgency),
      request,
      arrivedAt: now - request.ageMs,
      leavesAt: now + request.patienceMs,
      rank: 0,
      tag: 0,
      grantedAt: undefined,
      charged: 0,
      isSent: false,
      isAdmitted: false,
      isRemoved: false,
      reserved: undefined,
      avoided: undefined,
      rooms: [],
      roomsVersion: -1
    }
    this.#arrivals.push(entry)
    this.#added.push(entry)
    this.#size += 1
    this.workMs = this.workMs === undefined ? request.workMs : this.workMs + (request.workMs - this.workMs) * WORK_SMOOTHING
    this.invalidate()
    return entry
  }

  /** @param entry - entry that no longer waits */
  remove (entry: QueueEntry): void {
    if (entry.isRemoved) return
    entry.isRemoved = true
    entry.account.waiting -= 1
    this.#size -= 1
    if (entry.grantedAt !== undefined) this.#granted -= 1
    this.invalidate()
  }

  /** Makes the next call of `ordered` sort the entries. */
  invalidate (): void {
    this.#orderedAt = Number.NEGATIVE_INFINITY
  }

  /**
   * Records that an entry is granted, or that its grant is returned.
   *
   * @param entry - the entry
   * @param factor - 1 for a grant, -1 for a returned one
   * @param now - monotonic milliseconds
   */
  charge (entry: QueueEntry, factor: 1 | -1, now: number): void {
    if (factor === 1) entry.charged = costOf(entry.request)
    entry.account.received += factor * entry.charged / entry.account.weight
    entry.grantedAt = factor === 1 ? now : undefined
    this.#granted += factor
    entry.account.rate.addGranted(factor * entry.charged, now)
    this.rate.addGranted(factor * entry.charged, now)
    if (factor === -1) this.invalidate()
  }

  /**
   * Begins a decision: measures the time since the last one.
   *
   * @param now - monotonic milliseconds
   */
  advance (now: number): void {
    this.rate.advance(now, this.#isBacklogged)
    this.#shares.advance(now)
    this.#isBacklogged = false
  }

  /**
   * @param now - monotonic milliseconds
   * @returns sums for the estimates of one decision
   */
  createWorkAhead (now: number): WorkAhead {
    return new WorkAhead(now, this.rate.perMs, this.#shares.waitingCustomers, this.ordered(now))
  }

  /** @param entry - entry that the decision leaves waiting */
  leaveWaiting (entry: QueueEntry): void {
    entry.account.left += costOf(entry.request)
    this.#isBacklogged = true
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether requests wait, or have waited within the last second
   */
  isContended (now: number): boolean {
    if (this.waiting > 0) this.#waitedAt = now
    return now - this.#waitedAt < CONTENDED_MS
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the entries in the order in which they are to be sent; some may have a grant
   */
  ordered (now: number): readonly QueueEntry[] {
    if (now - this.#orderedAt < ORDER_LIFETIME_MS) return this.#ordered
    this.#shares.updateFloors()
    // Both lists are sorted again from their last order, in which little has changed, so that sorting takes linear time.
    this.#arrivals = this.#arrivals.filter(isWaiting).sort((one, other) => one.arrivedAt - other.arrivedAt)
    for (const entry of this.#arrivals) {
      const { urgency, objectiveMs, workMs } = entry.request
      entry.rank = waitingRank({ urgency, objectiveMs, workMs, ageMs: now - entry.arrivedAt, patienceMs: entry.leavesAt - now })
      entry.account.ahead = 0
    }
    for (const entry of this.#arrivals) tagEntry(entry)
    this.#ordered = this.#ordered.filter(isWaiting).concat(this.#added.filter(isWaiting))
      .sort((one, other) => one.rank - other.rank || one.tag - other.tag || one.arrivedAt - other.arrivedAt)
    this.#added = []
    this.#orderedAt = now
    return this.#ordered
  }
}

function isWaiting ({ isRemoved }: QueueEntry): boolean {
  return !isRemoved
}

/** Places an entry behind the earlier ones of its customer. */
function tagEntry (entry: QueueEntry): void {
  const { account } = entry
  entry.tag = receivedAboveFloor(account) + account.ahead
  if (entry.grantedAt === undefined) account.ahead += costOf(entry.request) / account.weight
}
