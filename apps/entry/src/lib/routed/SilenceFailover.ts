/**
 * Failover of a request whose endpoint has fallen silent towards everybody.
 *
 * Answers endpoints that hang with requests under way: one that may run elsewhere goes on there,
 * long before its caller's time is over. The first attempt stays open beside a standby until that
 * is accepted, because endpoints reject what they can't take and silent ones may only have paused.
 */
import type { RoutedAttempt } from './RoutedAttempt.js'
import type { SharedInterval } from './SharedInterval.js'

/** Interval between looks, in milliseconds: a quarter of the silence that counts. */
export const SILENCE_CHECK_INTERVAL_MS = 200

/**
 * Longest time for which both attempts are open, in milliseconds. A rejection comes within a few; two
 * endpoints must not be at work on one request for longer than 400.
 */
const MAX_OVERLAP_MS = 150

/** What the failover needs from the request's task. */
export interface SilenceFailoverPorts {
  /** Whether the request may run at one more endpoint, and its present one has fallen silent. */
  isWanted (): boolean
  /** Whether the present endpoint has fallen silent. */
  isSilent (): boolean
  /** Calls back once it is known what other hosts have under way. */
  withRecentLoad (place: () => void): void
  /** @returns a second attempt that is not sent yet; undefined if no endpoint can take it */
  open (): RoutedAttempt | undefined
  send (attempt: RoutedAttempt): void
  /** Ends the present attempt; the standby takes its place. */
  replace (standby: RoutedAttempt): void
}

/** Watch over the attempts of one request, with at most one standby at a time. */
export class SilenceFailover {
  #standby: RoutedAttempt | undefined
  #overlapTimer: NodeJS.Timeout | undefined
  #isWatching = false
  readonly #check = (): void => {
    if (this.#isWanted()) this.ports.withRecentLoad(() => { if (this.#isWanted()) this.#open() })
  }

  /**
   * @param checks - of all requests
   * @param ports - the request's task
   */
  constructor (private readonly checks: SharedInterval, private readonly ports: SilenceFailoverPorts) {}

  /** Starts to look. */
  watch (): void {
    this.#isWatching = true
    this.checks.join(this.#check)
  }

  /** Stops looking. */
  stop (): void {
    if (this.#isWatching) this.checks.leave(this.#check)
    this.#isWatching = false
  }

  /** Stops looking, and ends the standby if there is one. */
  end (): void {
    this.stop()
    this.takeStandby()?.cancel()
  }

  /** @param attempt - any attempt of the request */
  isStandby (attempt: RoutedAttempt): boolean {
    return attempt === this.#standby
  }

  /** @returns the standby, which is none any more; undefined if there was none */
  takeStandby (): RoutedAttempt | undefined {
    const standby = this.#standby
    this.#standby = undefined
    clearTimeout(this.#overlapTimer)
    return standby
  }

  /**
   * Ends the time in which both attempts are open.
   *
   * @param isUsable - whether the standby can go on with the answer, as far as is known
   * @returns whether it has taken the place of the present attempt; else it is ended
   */
  settle (isUsable: boolean): boolean {
    const standby = this.takeStandby()
    if (standby === undefined) return false
    const replaces = isUsable && this.ports.isSilent()
    if (replaces) this.ports.replace(standby)
    else standby.cancel()
    return replaces
  }

  #isWanted (): boolean {
    return this.#isWatching && this.#standby === undefined && this.ports.isWanted()
  }

  #open (): void {
    const standby = this.ports.open()
    if (standby === undefined) return
    this.#standby = standby
    // Endpoints reject at once what they can't take: one that has said nothing has it waiting.
    this.#overlapTimer = setTimeout(() => { this.settle(true) }, MAX_OVERLAP_MS)
    this.ports.send(standby)
  }
}
