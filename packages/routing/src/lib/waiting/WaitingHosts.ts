/** Hosts with waiting requests, and their questions that are not answered yet. */
import type { QueueEntry } from './queueEntry.js'
import type { Grant, WaitingRefusal } from './waitingMessages.js'

/** Time without a question after which a host is dropped with its requests, in milliseconds: ten questions. */
const HOST_TIMEOUT_MS = 1000

/** Time for which a question is held, in milliseconds. */
export const HOLD_MS = 100

/** Most hosts; any sender can reach the port. */
const MAX_HOSTS = 1024

/** What is known of one host. */
export interface WaitingHost {
  readonly name: string
  sequence: number
  reportedAt: number
  /** When its question arrived; undefined once it is answered. */
  askedAt: number | undefined
  /** Its waiting requests by ticket. */
  entries: Map<number, QueueEntry>
  /** What the answer to its question will contain. */
  grants: Grant[]
  refusals: WaitingRefusal[]
}

/** Hosts by name. */
export class WaitingHosts {
  readonly #hosts = new Map<string, WaitingHost>()

  get size (): number { return this.#hosts.size }

  /** All hosts. */
  get all (): Iterable<WaitingHost> { return this.#hosts.values() }

  /**
   * @param name - name of a host
   * @returns the host, or undefined if it is unknown
   */
  find (name: string): WaitingHost | undefined {
    return this.#hosts.get(name)
  }

  /**
   * Records that a question has arrived.
   *
   * @param name - name of the host
   * @param sequence - sequence of its question
   * @param now - monotonic milliseconds
   * @returns the host; undefined if it has asked a newer question, or there are too many hosts
   */
  recordQuestion (name: string, sequence: number, now: number): WaitingHost | undefined {
    let host = this.#hosts.get(name)
    if (host === undefined) {
      if (this.#hosts.size >= MAX_HOSTS) return undefined
      host = { name, sequence, reportedAt: now, askedAt: now, entries: new Map(), grants: [], refusals: [] }
      this.#hosts.set(name, host)
      return host
    }
    // Datagrams may arrive out of order or twice. A restarted host begins anew, and takes longer than the timeout to start.
    if (sequence <= host.sequence) return undefined
    host.sequence = sequence
    host.reportedAt = now
    host.askedAt = now
    return host
  }

  /**
   * Removes the hosts that have been silent.
   *
   * @param now - monotonic milliseconds
   * @returns the removed hosts
   */
  takeSilent (now: number): WaitingHost[] {
    const silent = [...this.#hosts.values()].filter(({ reportedAt }) => now - reportedAt > HOST_TIMEOUT_MS)
    for (const { name } of silent) this.#hosts.delete(name)
    return silent
  }

  /** Time at which the oldest question has been held for long enough; undefined if no question is open. */
  get answerDueAt (): number | undefined {
    let due: number | undefined
    for (const { askedAt } of this.#hosts.values()) {
      if (askedAt !== undefined && (due === undefined || askedAt + HOLD_MS < due)) due = askedAt + HOLD_MS
    }
    return due
  }
}
