/**
 * Divides the time of the event loop among the endpoints whose responses are read.
 *
 * A socket that always has bytes is read again and again within one turn of the event loop, so endpoints that send as fast as
 * they can would take all of it. Beyond a slice, an endpoint's connections are read on in later turns, one after the other.
 */
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

/** Bytes that an endpoint may send in a window without any bookkeeping; most responses are smaller. */
const FREE_BYTES = 32 * 1024

/** Most bytes that are read from one endpoint in a turn. */
export const SLICE_BYTES = 256 * 1024

/** Time for which responses beyond {@link FREE_BYTES} may be read in a turn, in milliseconds. */
const TURN_MS = 4

/** Time after which a window without an endpoint beyond {@link FREE_BYTES} ends, in milliseconds. */
const WINDOW_MS = 10

/** Shortest time between two log lines about one endpoint, in milliseconds. */
const LOG_INTERVAL_MS = 10_000

/** A response that is read on in a later turn. */
export interface PausedResponse {
  /** Reads on. */
  resume (): void
  /** Ends the response, because too much has arrived for those that are paused. */
  cut (): void
  /** @returns memory of what has arrived for the response and is not read, in bytes */
  unreadBytes (): number
}

/** What an endpoint has sent in the current window. */
interface EndpointReads {
  bytes: number
  /** Responses that are read on in later turns, in the order in which they were paused. */
  readonly paused: PausedResponse[]
}

/** Clock and scheduler, which tests replace. */
export interface SliceTimers {
  now (): number
  /** Calls `next` in the next turn, after the sockets of others have been read. */
  nextTurn (next: () => void): void
}

const LOOP_TIMERS: SliceTimers = {
  now: () => performance.now(),
  nextTurn: next => { setImmediate(next) }
}

/** Slices of all endpoints. */
export class ReadSlices {
  readonly #endpoints = new Map<string, EndpointReads>()
  readonly #pauses: LabelledCounter
  readonly #cuts: LabelledCounter
  /** When a line was logged about each endpoint. */
  readonly #loggedAt = new Map<string, number>()
  #windowStartedAt = Number.NEGATIVE_INFINITY
  #isTurnEndDue = false
  #lastUnreadBytes = 0

  /**
   * @param telemetry - metrics
   * @param maxUnreadBytes - most bytes that have arrived for paused responses and are not read
   * @param timers - clock and scheduler
   */
  constructor (private readonly telemetry: Telemetry, private readonly maxUnreadBytes: number, private readonly timers: SliceTimers = LOOP_TIMERS) {
    this.#pauses = telemetry.labelledCounter('response_read_pauses_total', 'Pauses in reading the responses of endpoints that had used up their slice of a turn of the event loop', 'endpoint')
    this.#cuts = telemetry.labelledCounter('paused_responses_cut_total', 'Responses of endpoints that were cut because too many had arrived faster than they were read', 'endpoint')
    telemetry.gauge('responses_paused', 'Responses that are read on in a later turn of the event loop', () => this.#pausedCount)
  }

  /** Bytes that had arrived for paused responses and were not read when the last one was paused; 0 if none is paused now. */
  get unreadBytes (): number { return this.#pausedCount === 0 ? 0 : this.#lastUnreadBytes }

  /**
   * Counts bytes that were read from an endpoint.
   *
   * @param address - address of the endpoint
   * @param bytes - number of bytes
   * @returns whether more may be read from it in this turn
   */
  count (address: string, bytes: number): boolean {
    return this.#hasTime(this.#add(address, bytes))
  }

  /**
   * Reads on a response of an endpoint as soon as the endpoint has a slice.
   *
   * @param address - address of the endpoint
   * @param response - response to read on, at once or in a later turn
   */
  resumeInTurn (address: string, response: PausedResponse): void {
    const reads = this.#add(address, 0)
    if (this.#hasTime(reads)) {
      response.resume()
      return
    }
    reads.paused.push(response)
    this.#pauses.count(address)
    this.#log(address, reads)
  }

  #hasTime ({ bytes }: EndpointReads): boolean {
    if (bytes <= FREE_BYTES) return true
    this.#scheduleTurnEnd()
    return bytes <= SLICE_BYTES && this.timers.now() - this.#windowStartedAt < TURN_MS
  }

  #log (address: string, { bytes, paused }: EndpointReads): void {
    const now = this.timers.now()
    const loggedAt = this.#loggedAt.get(address) ?? Number.NEGATIVE_INFINITY
    if (now - loggedAt < LOG_INTERVAL_MS) return
    for (const [logged, at] of this.#loggedAt) if (now - at >= LOG_INTERVAL_MS) this.#loggedAt.delete(logged)
    this.#loggedAt.set(address, now)
    this.telemetry.logStateChange('endpoint-reads-paused', { address, bytes, paused: paused.length })
  }

  /** Cuts responses of the endpoints for which most has arrived, those that were paused last first. */
  #keepBound (): void {
    const unread = new Map([...this.#endpoints].map(([address, { paused }]) => [address, paused.reduce((sum, response) => sum + response.unreadBytes(), 0)]))
    this.#lastUnreadBytes = sumOf(unread)
    while (this.#lastUnreadBytes > this.maxUnreadBytes) {
      const address = largestOf(unread)
      const response = this.#endpoints.get(address)?.paused.pop()
      if (response === undefined) return
      const bytes = response.unreadBytes()
      unread.set(address, (unread.get(address) ?? 0) - bytes)
      this.#lastUnreadBytes -= bytes
      this.#cuts.count(address)
      response.cut()
    }
  }

  get #pausedCount (): number {
    let count = 0
    for (const { paused } of this.#endpoints.values()) count += paused.length
    return count
  }

  #add (address: string, bytes: number): EndpointReads {
    if (!this.#isTurnEndDue) {
      const now = this.timers.now()
      if (now - this.#windowStartedAt >= WINDOW_MS) this.#startWindow(now)
    }
    const reads = this.#endpoints.get(address) ?? { bytes: 0, paused: [] }
    reads.bytes += bytes
    this.#endpoints.set(address, reads)
    return reads
  }

  #startWindow (now: number): void {
    this.#windowStartedAt = now
    for (const [address, reads] of this.#endpoints) {
      reads.bytes = 0
      if (reads.paused.length === 0) this.#endpoints.delete(address)
    }
  }

  #scheduleTurnEnd (): void {
    if (this.#isTurnEndDue) return
    this.#isTurnEndDue = true
    this.timers.nextTurn(() => { this.#endTurn() })
  }

  #endTurn (): void {
    this.#isTurnEndDue = false
    const startedAt = this.timers.now()
    this.#startWindow(startedAt)
    // A response that is read on may pause again at once, so each of those that are paused now gets one try.
    for (let left = this.#pausedCount; left > 0 && this.timers.now() - startedAt < TURN_MS;) left -= this.#resumeOneOfEach(left)
    this.#keepBound()
    if (this.#pausedCount > 0) this.#scheduleTurnEnd()
  }

  /** @returns number of responses that were resumed; at least one */
  #resumeOneOfEach (limit: number): number {
    let resumed = 0
    for (const reads of [...this.#endpoints.values()]) {
      const response = resumed < limit && reads.bytes <= SLICE_BYTES ? reads.paused.shift() : undefined
      if (response === undefined) continue
      resumed += 1
      response.resume()
    }
    return Math.max(1, resumed)
  }
}

function sumOf (unread: ReadonlyMap<string, number>): number {
  return [...unread.values()].reduce((sum, bytes) => sum + bytes, 0)
}

function largestOf (unread: ReadonlyMap<string, number>): string {
  let largest = ''
  let most = Number.NEGATIVE_INFINITY
  for (const [address, bytes] of unread) {
    if (bytes <= most) continue
    largest = address
    most = bytes
  }
  return largest
}
