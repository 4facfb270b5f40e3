/**
 * Queue for requests that the site in force does not allow, on a host that knows of a newer view.
 *
 * The newer view is about to arrive and may allow them. A host that does not lag never queues a request.
 */
import type { CallerExchange } from './CallerExchange.js'

/** Longest wait of one request, in milliseconds; a view arrives within this time even if its connection has to be replaced. */
const MAX_WAIT_MS = 1000

/** Largest share of the caller's deadline that a request may wait. */
const MAX_WAIT_SHARE = 0.3

/** Most requests in the queue; others are refused at once. */
const MAX_WAITING = 200

/** Outcome of a wait: the host has caught up or is stopping, or the view has not arrived in time. */
export type LaggingViewOutcome = 'released' | 'timeout'

interface WaitingRequest {
  readonly end: (outcome: LaggingViewOutcome) => void
  readonly timer: NodeJS.Timeout
}

/** Holds requests until the view changes or they have waited long enough. */
export class LaggingViewQueue {
  readonly #waiting = new Set<WaitingRequest>()

  get length (): number { return this.#waiting.size }

  /**
   * Queues a request if the queue is not full and the request has not waited long enough already.
   *
   * @param exchange - connection to the caller
   * @param deadlineMs - milliseconds that the caller waits, if it states a limit
   * @param waitedMs - milliseconds since the request arrived
   * @param end - called once at the end of the wait, unless the caller disconnects
   * @returns whether the request was queued
   */
  enqueue (exchange: CallerExchange, deadlineMs: number | undefined, waitedMs: number, end: (outcome: LaggingViewOutcome) => void): boolean {
    const waitMs = Math.min(MAX_WAIT_MS, deadlineMs === undefined ? MAX_WAIT_MS : deadlineMs * MAX_WAIT_SHARE) - waitedMs
    if (waitMs <= 0 || this.#waiting.size >= MAX_WAITING) return false
    const waiting: WaitingRequest = { end, timer: setTimeout(() => { this.#end(waiting, 'timeout') }, waitMs) }
    this.#waiting.add(waiting)
    exchange.onCallerLeft(() => { this.#remove(waiting) })
    return true
  }

  /** Ends all waits because the host has caught up or is stopping. */
  release (): void {
    for (const waiting of [...this.#waiting]) this.#end(waiting, 'released')
  }

  #end (waiting: WaitingRequest, outcome: LaggingViewOutcome): void {
    if (this.#remove(waiting)) waiting.end(outcome)
  }

  #remove (waiting: WaitingRequest): boolean {
    clearTimeout(waiting.timer)
    return this.#waiting.delete(waiting)
  }
}
