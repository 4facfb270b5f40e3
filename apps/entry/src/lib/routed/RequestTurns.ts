/**
 * Divides the time of the event loop between new connections, requests that arrive and everything else.
 *
 * The event loop accepts one connection a turn, and a turn lasts until all sockets that have bytes have been read. If each
 * request were handled as it is read, a turn would take as long as all callers' requests together, and connections would
 * wait unaccepted while others are served on and on. Beyond a slice, requests therefore wait for later turns, the oldest
 * first, and turns that bring connections begin nothing until no more come or many have been accepted.
 */
import { isBehindWithTurns, isInTimeForTurn, mayWaitForTurn } from '@eelgrassmux/routing/admission/turnWait'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Requests and connections for which nothing is scheduled until the event loop has rested; a host that keeps up has fewer. */
const FREE_ARRIVALS = 4

/** Time without events after which the event loop has rested, in milliseconds. */
const REST_MS = 1

/** Time for which requests are begun in a turn, in milliseconds. */
const SLICE_MS = 4

/** The same after turns that accepted connections, which get no more time than requests, in milliseconds. */
const MAX_SLICE_MS = 20

/** Most turns in a row that accept connections and begin nothing. They are short; those in which requests begin or responses arrive may last far longer. */
const MAX_ACCEPTING_TURNS = 128

/** Most requests that wait; their headers are in memory, their bodies are not read yet. */
const MAX_WAITING = 1000

/** Weight of the newest slice in the smoothed time and number of requests of a slice. */
const SMOOTHING = 0.1

/** Requests of a slice until the first one is measured. */
const INITIAL_SLICE_REQUESTS = 4

/** Shortest time between two log lines, in milliseconds. */
const LOG_INTERVAL_MS = 10_000

/** Upper bounds of the buckets of waits, in seconds. */
const WAIT_BUCKETS_SECONDS = [0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 5]

/** Upper bounds of the buckets of turns, in seconds. */
const TURN_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1]

/** A request that was read up to its body. */
export interface ArrivedRequest {
  /** How long the caller waits, in milliseconds; undefined if it states no limit. */
  readonly deadlineMs: number | undefined
  /** Handles the request. */
  begin (): void
  /** @param expectedMs - time until the requests that arrived earlier have begun, in milliseconds */
  refuse (expectedMs: number): void
}

/** Clock and scheduler, which tests replace. */
export interface TurnTimers {
  now (): number
  /** @returns time for which the event loop has waited for events, in milliseconds; it stays the same within a turn */
  idleMs (): number
  /** Calls `next` in the next turn, after a connection was accepted and the sockets were read. */
  nextTurn (next: () => void): void
  /** Calls `next` in this turn, after what the last request has scheduled for it. */
  nextStep (next: () => void): void
}

const LOOP_TIMERS: TurnTimers = {
  now: () => performance.now(),
  idleMs: () => performance.nodeTiming.idleTime,
  nextTurn: next => { setImmediate(next) },
  nextStep: next => { process.nextTick(next) }
}

/** Turns of the requests of one host. */
export class RequestTurns {
  /** When each waiting request arrived, the oldest first. */
  readonly #waiting = new Map<ArrivedRequest, number>()
  readonly #connections: LabelledCounter
  readonly #outcomes: LabelledCounter
  readonly #observeWait: (milliseconds: number) => void
  readonly #observeTurn: (milliseconds: number) => void
  /** Idle time of the event loop when the current turn began. */
  #idleMs = Number.NaN
  /** Idle time of the event loop when it had last rested. */
  #restedAtIdleMs = Number.NEGATIVE_INFINITY
  #arrivalsSinceRest = 0
  #isTurnEndDue = false
  /** When something first arrived in the current turn. */
  #turnStartedAt = 0
  #hasNewConnection = false
  #acceptingTurns = 0
  /** When the last slice ended, or the first of the waiting requests arrived. */
  #sliceEndedAt = 0
  #meanSliceMs = SLICE_MS
  #meanSliceRequests = INITIAL_SLICE_REQUESTS
  #refused = 0
  #loggedAt = Number.NEGATIVE_INFINITY

  /**
   * @param telemetry - log and metrics
   * @param timers - clock and scheduler
   */
  constructor (private readonly telemetry: Telemetry, private readonly timers: TurnTimers = LOOP_TIMERS) {
    this.#connections = telemetry.labelledCounter('connections_accepted_total', 'Connections of callers that were accepted', 'port')
    this.#outcomes = telemetry.labelledCounter('turn_waits_total', 'Requests that did not begin in the turn of the event loop in which they arrived, by outcome', 'outcome')
    this.#observeWait = telemetry.durationHistogram('turn_wait_seconds', 'Time that requests waited for a turn of the event loop', WAIT_BUCKETS_SECONDS)
    this.#observeTurn = telemetry.durationHistogram('request_turn_seconds', 'Time between the starts of two turns of the event loop while requests arrive or wait', TURN_BUCKETS_SECONDS)
    telemetry.gauge('requests_waiting_for_turn', 'Requests that begin in a later turn of the event loop', () => this.#waiting.size)
  }

  /** Whether this host has more requests than it can begin. */
  get isBehind (): boolean { return isBehindWithTurns(this.#expectedMs) }

  /** Notes that a connection was accepted; more may wait. */
  noteConnection (): void {
    this.#hasNewConnection = true
    this.#noteArrival(this.timers.now())
    this.#connections.count('callers')
  }

  /**
   * Begins a request at once, or in a later turn if this turn is over; refuses it if it would wait too long.
   *
   * @param request - request that has arrived
   * @returns whether the request waits
   */
  add (request: ArrivedRequest): boolean {
    const now = this.timers.now()
    this.#noteArrival(now)
    if (this.#waiting.size === 0) {
      if (this.#acceptingTurns === 0 && !this.#isTurnOver(now)) {
        request.begin()
        this.#limitTurn(this.timers.now())
        return false
      }
      this.#sliceEndedAt = now
    }
    const isRefused = this.#waiting.size >= MAX_WAITING || !mayWaitForTurn(this.#expectedMs, request.deadlineMs)
    // By the next step the body is complete if it is short, so that the connection can be kept.
    if (isRefused) this.timers.nextStep(() => { this.#refuse(request) })
    else this.#waiting.set(request, now)
    return !isRefused
  }

  /**
   * @param request - request whose caller has left
   * @returns whether the request was waiting
   */
  remove (request: ArrivedRequest): boolean {
    const hasWaited = this.#waiting.delete(request)
    if (hasWaited) this.#outcomes.count('left')
    return hasWaited
  }

  get #requestMs (): number { return this.#meanSliceMs / this.#meanSliceRequests }

  get #expectedMs (): number { return this.#waiting.size * this.#requestMs }

  #noteArrival (now: number): void {
    if (this.#isTurnEndDue) return
    const idleMs = this.timers.idleMs()
    if (idleMs !== this.#idleMs) {
      this.#idleMs = idleMs
      this.#turnStartedAt = now
    }
    if (idleMs - this.#restedAtIdleMs >= REST_MS) {
      this.#restedAtIdleMs = idleMs
      this.#arrivalsSinceRest = 0
    }
    this.#arrivalsSinceRest += 1
    this.#limitTurn(now)
  }

  /** Makes sure that the end of a turn is noticed if the event loop does not rest, or the turn has taken long. */
  #limitTurn (now: number): void {
    if (!this.#isTurnEndDue && (this.#arrivalsSinceRest > FREE_ARRIVALS || this.#isTurnOver(now))) this.#scheduleTurnEnd()
  }

  #isTurnOver (now: number): boolean {
    return now - this.#turnStartedAt >= SLICE_MS
  }

  #startTurn (now: number): void {
    this.#turnStartedAt = now
    this.#scheduleTurnEnd()
  }

  #scheduleTurnEnd (): void {
    this.#isTurnEndDue = true
    this.timers.nextTurn(() => { this.#endTurn() })
  }

  #endTurn (): void {
    this.#isTurnEndDue = false
    const now = this.timers.now()
    this.#observeTurn(now - this.#turnStartedAt)
    const isAccepting = this.#hasNewConnection && this.#acceptingTurns < MAX_ACCEPTING_TURNS
    this.#hasNewConnection = false
    this.#acceptingTurns = isAccepting ? this.#acceptingTurns + 1 : 0
    if (!isAccepting && this.#waiting.size === 0) {
      this.#idleMs = Number.NaN
      return
    }
    this.#startTurn(now)
    if (isAccepting) return
    const sliceMs = Math.min(MAX_SLICE_MS, Math.max(SLICE_MS, now - this.#sliceEndedAt))
    this.#beginOldest(now + sliceMs, 0)
  }

  /** Begins the oldest requests until the slice is over. */
  #beginOldest (endsAt: number, begunInSlice: number): void {
    const now = this.timers.now()
    const [oldest] = this.#waiting
    if (oldest === undefined || (begunInSlice > 0 && now >= endsAt)) {
      this.#endSlice(begunInSlice, now)
      return
    }
    const [request, arrivedAt] = oldest
    this.#waiting.delete(request)
    this.#beginInTime(request, now - arrivedAt)
    this.timers.nextStep(() => { this.#beginOldest(endsAt, begunInSlice + 1) })
  }

  #beginInTime (request: ArrivedRequest, waitedMs: number): void {
    this.#observeWait(waitedMs)
    if (!isInTimeForTurn(waitedMs, request.deadlineMs)) {
      this.#refuse(request)
      return
    }
    this.#outcomes.count('begun')
    request.begin()
  }

  #endSlice (begun: number, now: number): void {
    this.#meanSliceMs += SMOOTHING * (now - this.#sliceEndedAt - this.#meanSliceMs)
    this.#meanSliceRequests += SMOOTHING * (begun - this.#meanSliceRequests)
    this.#sliceEndedAt = now
    if (this.isBehind) this.#log(now)
  }

  #refuse (request: ArrivedRequest): void {
    this.#refused += 1
    this.#outcomes.count('refused')
    request.refuse(this.#expectedMs)
  }

  #log (now: number): void {
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return
    this.#loggedAt = now
    this.telemetry.logStateChange('requests-wait-for-turns', {
      waiting: this.#waiting.size, expectedMs: Math.round(this.#expectedMs), requestMs: Math.round(this.#requestMs * 100) / 100, refused: this.#refused
    })
    this.#refused = 0
  }
}
