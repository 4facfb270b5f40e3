/**
 * Requests that arrive before this host knows the site.
 *
 * Answers the load in which all hosts start at once: every caller's connection
 * breaks, and all come back within the second in which the hosts learn the site
 * again. A refusal would use up the few attempts that a caller has, although the
 * site is tenths of a second away. Only a host that has just started makes
 * requests wait; one that does not learn the site refuses them.
 *
 * All hosts learn the site at the same moment. Let go all at once, what waited would fill
 * the engines' memory with requests that are late already, and those that arrive next
 * would be late or refused for it (46 long requests in the five seconds after a return of 8
 * hosts before 13 engines). So the newest go first, and the others step by step, at a pace at
 * which hosts hear of each other's sends.
 */
import type { CallerExchange } from './CallerExchange.js'

/** Age of a host up to which its requests wait, in milliseconds: measured returns of all hosts took 1.3 s. */
const MAX_HOST_AGE_MS = 3000

/** Longest wait of one request, in milliseconds: a return that takes longer than the measured ones by half. */
const MAX_WAIT_MS = 2000

/** Share of the caller's time that may be spent waiting, so that the rest is enough for an answer. */
const MAX_WAIT_SHARE = 0.5

/** Time between steps in which requests are let go, in milliseconds: hosts report their work so often. */
const RELEASE_STEP_MS = 50

/** Steps in which all are let go: late requests are worth little more for half a second less. */
const RELEASE_STEPS = 10

/** Most requests that wait; a few seconds of a busy host's arrivals. */
const MAX_WAITING = 1000

interface WaitingRequest {
  readonly resume: () => void
  readonly timer: NodeJS.Timeout
}

/** Holds requests until they are released or their time is up. */
export class StartupQueue {
  readonly #waiting = new Set<WaitingRequest>()
  #releaseTimer: NodeJS.Timeout | undefined

  /** @param startedAt - monotonic milliseconds at which the process began */
  constructor (private readonly startedAt = 0) {}

  get length (): number { return this.#waiting.size }

  /**
   * Holds a request if there is reason to.
   *
   * @param exchange - the caller's side
   * @param deadlineMs - milliseconds that the caller waits, if it says so
   * @param now - monotonic milliseconds
   * @param resume - called once when the request is released, or has waited long enough; not if its caller leaves
   * @returns whether the request waits
   */
  hold (exchange: CallerExchange, deadlineMs: number | undefined, now: number, resume: () => void): boolean {
    if (now - this.startedAt > MAX_HOST_AGE_MS || this.#waiting.size >= MAX_WAITING) return false
    const waitMs = Math.min(MAX_WAIT_MS, (deadlineMs ?? MAX_WAIT_MS) * MAX_WAIT_SHARE)
    const waiting: WaitingRequest = { resume, timer: setTimeout(() => { this.#resume(waiting) }, waitMs) }
    this.#waiting.add(waiting)
    exchange.onCallerLeft(() => { this.#remove(waiting) })
    return true
  }

  /** Begins to let requests go, the newest first: those can still be on time. */
  release (): void {
    if (this.#releaseTimer !== undefined) return
    this.#releaseStep(Math.ceil(this.#waiting.size / RELEASE_STEPS))
  }

  /** Lets all go that wait. */
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
