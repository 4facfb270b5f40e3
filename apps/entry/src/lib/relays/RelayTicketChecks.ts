/** Checks whether relayed requests come from hosts of this system. */
import type { RelayDirectory } from './RelayHosts.js'

/** Time for which a valid ticket is not checked again, in milliseconds. */
const VALID_MS = 5000

/** Time for which an invalid ticket is not checked again, in milliseconds. */
const INVALID_MS = 1000

/** Most tickets that are remembered; any caller can send one. */
const MAX_TICKETS = 256

/** Longest wait for the answer of the control host, in milliseconds. */
const MAX_WAIT_MS = 300

interface Check {
  readonly isValid: boolean
  readonly until: number
}

/** Remembers the outcomes of checks. */
export class RelayTicketChecks {
  readonly #checks = new Map<string, Check>()
  readonly #pending = new Map<string, Array<(isValid: boolean) => void>>()

  /** @param directory - asks the leading control host */
  constructor (private readonly directory: Pick<RelayDirectory, 'holderOf'>) {}

  /**
   * @param ticket - ticket that a request carries
   * @param done - called with whether a host of this system holds it, at once if that is known; false if nobody answers in time
   */
  check (ticket: string, done: (isValid: boolean) => void): void {
    const known = this.#checks.get(ticket)
    if (known !== undefined && performance.now() < known.until) return done(known.isValid)
    const waiting = this.#pending.get(ticket)
    if (waiting !== undefined) {
      waiting.push(done)
      return
    }
    if (this.#pending.size >= MAX_TICKETS) return done(false)
    this.#pending.set(ticket, [done])
    const timer = setTimeout(() => { this.#settle(ticket, false) }, MAX_WAIT_MS)
    void this.directory.holderOf(ticket).then(holder => {
      clearTimeout(timer)
      if (holder !== undefined) this.#remember(ticket, holder !== '')
      this.#settle(ticket, holder !== undefined && holder !== '')
    })
  }

  #remember (ticket: string, isValid: boolean): void {
    if (this.#checks.size >= MAX_TICKETS) this.#checks.clear()
    this.#checks.set(ticket, { isValid, until: performance.now() + (isValid ? VALID_MS : INVALID_MS) })
  }

  #settle (ticket: string, isValid: boolean): void {
    const waiting = this.#pending.get(ticket) ?? []
    this.#pending.delete(ticket)
    for (const done of waiting) done(isValid)
  }
}
