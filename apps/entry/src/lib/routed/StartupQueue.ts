/**
 * Queue for requests that arrive before this host knows the site configuration.
 *
 * The queue handles a common restart of all hosts: all connections of callers break, and all
 * callers reconnect within the second in which the hosts receive the configuration again.
 * A refusal would use up one of a caller's few attempts, although the configuration
 * arrives tenths of a second later. Only a host that has just started queues requests.
 * If the configuration does not arrive, the host refuses them.
 *
 * All hosts receive the configuration at the same moment. If they released all requests at once,
 * those would fill the engines' memory although they are late already, and the requests that arrive
 * next would be late or refused (46 long requests in the 5 s after a restart of 8 hosts with 13
 * engines). Therefore the newest requests are released first and the others in steps, at the
 * interval at which hosts report their load to each other.
 */
import type { CallerExchange } from './CallerExchange.js'

/** Time after its start during which a host queues requests, in milliseconds; restarts of all hosts took 1.3 s. */
const MAX_HOST_AGE_MS = 3000

/** Longest wait of one request, in milliseconds; covers a restart of all hosts that takes half as long again as 1.3 s. */
const MAX_WAIT_MS = 2000

/** Largest share of the caller's deadline that a request may wait, so that the rest is enough for a response. */
const MAX_WAIT_SHARE = 0.5

/** Interval between the steps of a release, in milliseconds; the interval at which hosts report their load. */
const RELEASE_STEP_MS = 50

/** Number of steps of a release, which takes half a second in total; requests that are late already gain little from a faster release. */
const RELEASE_STEPS = 10

/** Most requests in the queue; a busy host receives them in a few seconds. */
const MAX_WAITING = 1000

interface WaitingRequest {
  readonly resume: () => void
  readonly timer: NodeJS.Timeout
}

/** Holds requests until they are released or have waited long enough. */
export class StartupQueue {
  readonly #waiting = new Set<WaitingRequest>()
  #releaseTimer: NodeJS.Timeout | undefined

  /** @param startedAt - when the process started, in monotonic milliseconds */
  constructor (private readonly startedAt = 0) {}

  get length (): number { return this.#waiting.size }

  /**
   * @param now - monotonic milliseconds
   * @returns whether this host has just started, so that it queues requests
   */
  isStarting (now: number): boolean { return now - this.startedAt <= MAX_HOST_AGE_MS }

  /**
   * Queues a request if this host has just started and the queue is not full.
   *
   * @param exchange - connection to the caller
   * @param deadlineMs - milliseconds that the caller waits, if it states a limit
   * @param now - monotonic milliseconds
   * @param resume - called once when the request is released or has waited long enough, unless the caller disconnects
   * @returns whether the request was queued
   */
  enqueue (exchange: CallerExchange, deadlineMs: number | undefined, now: number, resume: () => void): boolean {
    if (!this.isStarting(now) || this.#waiting.size >= MAX_WAITING) return false
    const waitMs = Math.min(MAX_WAIT_MS, (deadlineMs ?? MAX_WAIT_MS) * MAX_WAIT_SHARE)
    const waiting: WaitingRequest = { resume, timer: setTimeout(() => { this.#resume(waiting) }, waitMs) }
    this.#waiting.add(waiting)
    exchange.onCallerLeft(() => { this.#remove(waiting) })
    return true
  }

  /** Begins to release requests in steps, the newest first, because those can still be answered in time. */
  release (): void {
    if (this.#releaseTimer !== undefined) return
    this.#releaseStep(Math.ceil(this.#waiting.size / RELEASE_STEPS))
  }

  /** Releases all requests at once. */
  releaseAll (): void {
    clearTimeout(this.#releaseTimer)
    this.#releaseTimer = undefined
    for (const waiting of [...this.#waiting]) this.#resume(waiting)
  }

  #releaseStep (count: number): void {
    this.#releaseTimer = undefined
    if (this.#waiting.size === 0) return
    for (const waiting of [...this.#waiting].reverse().slice(0, count)) this.#resume(waiting)
    this.#releaseTimer = setTimeout(() => { this.#releaseStep(count) }, RELEASE_STEP_MS)
  }

  #resume (waiting: WaitingRequest): void {
    if (this.#remove(waiting)) waiting.resume()
  }

  #remove (waiting: WaitingRequest): boolean {
    clearTimeout(waiting.timer)
    return this.#waiting.delete(waiting)
  }
}
