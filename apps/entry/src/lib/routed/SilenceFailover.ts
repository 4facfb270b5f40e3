/**
 * Failover of a request whose endpoint has stopped responding to all hosts.
 *
 * If an endpoint hangs with pending requests, those that may run elsewhere continue at another
 * endpoint long before their deadlines. The first attempt stays open beside a standby attempt until
 * the standby is accepted, because an endpoint may reject the standby, and a silent one may only have paused.
 */
import type { RoutedAttempt } from './RoutedAttempt.js'
import type { SharedInterval } from './SharedInterval.js'

/** Interval of the checks, in milliseconds; a quarter of the silence after which an endpoint counts as unresponsive. */
export const SILENCE_CHECK_INTERVAL_MS = 200

/**
 * Longest time for which both attempts are open, in milliseconds. A rejection arrives within a few
 * milliseconds. Two endpoints must not execute one request at the same time for longer than 400 ms.
 */
const MAX_OVERLAP_MS = 150

/** Callbacks to the task of the request. */
export interface SilenceFailoverPorts {
  /** Whether the request may be sent to another endpoint, and its current one has stopped responding. */
  shouldOpenStandby (): boolean
  /** Whether the current endpoint has stopped responding. */
  isSilent (): boolean
  /** Whether the response of a standby can go on with what the caller has. */
  canContinueAt (standby: RoutedAttempt): boolean
  /** Calls `place` once the load of the other hosts is known recently enough. */
  withRecentLoad (place: () => void): void
  /** @returns a standby attempt that is not sent yet; undefined if no endpoint can take the request */
  open (): RoutedAttempt | undefined
  send (attempt: RoutedAttempt): void
  /** Cancels the current attempt and continues with the standby. */
  replace (standby: RoutedAttempt): void
}

/** Watches the current attempt of one request, and opens at most one standby attempt at a time. */
export class SilenceFailover {
  #standby: RoutedAttempt | undefined
  #overlapTimer: NodeJS.Timeout | undefined
  #isWatching = false
  readonly #check = (): void => {
    if (this.#shouldOpenStandby()) this.ports.withRecentLoad(() => { if (this.#shouldOpenStandby()) this.#openStandby() })
  }

  /**
   * @param checks - shared timer of all requests
   * @param ports - callbacks to the task of the request
   */
  constructor (private readonly checks: SharedInterval, private readonly ports: SilenceFailoverPorts) {}

  /** Checks at once, because a retry token has arrived. */
  checkNow (): void {
    this.#check()
  }

  /** Starts the checks. */
  watch (): void {
    this.#isWatching = true
    this.checks.join(this.#check)
  }

  /** Stops the checks. */
  stop (): void {
    if (this.#isWatching) this.checks.leave(this.#check)
    this.#isWatching = false
  }

  /** Stops the checks, and cancels the standby if there is one. */
  end (): void {
    this.stop()
    this.takeStandby()?.cancel()
  }

  /** @param attempt - any attempt of the request */
  isStandby (attempt: RoutedAttempt): boolean {
    return attempt === this.#standby
  }

  /** @returns the standby, which is no longer treated as one; undefined if there was none */
  takeStandby (): RoutedAttempt | undefined {
    const standby = this.#standby
    this.#standby = undefined
    clearTimeout(this.#overlapTimer)
    return standby
  }

  /**
   * Ends the time in which both attempts are open.
   *
   * @param isUsable - whether the standby can continue the response, as far as is known
   * @returns whether the standby has replaced the current attempt; otherwise it has been cancelled
   */
  settle (isUsable: boolean): boolean {
    const standby = this.takeStandby()
    if (standby === undefined) return false
    const replaces = isUsable && this.ports.canContinueAt(standby) && this.ports.isSilent()
    if (replaces) this.ports.replace(standby)
    else standby.cancel()
    return replaces
  }

  #shouldOpenStandby (): boolean {
    return this.#isWatching && this.#standby === undefined && this.ports.shouldOpenStandby()
  }

  #openStandby (): void {
    const standby = this.ports.open()
    if (standby === undefined) return
    this.#standby = standby
    // Endpoints reject at once what they can't take, so one that has not responded by then has queued the request.
    this.#overlapTimer = setTimeout(() => { this.settle(true) }, MAX_OVERLAP_MS)
    this.ports.send(standby)
  }
}
