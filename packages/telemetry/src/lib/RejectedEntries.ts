/** Reports list entries that can't be used, in metrics and the log. */
import type { LabelledCounter, Telemetry } from './Telemetry.js'

/** An invalid list entry; another program may have written it. */
export interface RejectedEntry {
  /** Why the entry is invalid. */
  readonly reason: string
  /** Beginning of the entry. */
  readonly excerpt: string
}

/** Shortest time between two log lines about one source, in milliseconds; lists are read several times a second. */
const LOG_INTERVAL_MS = 10_000

/** Maximum length of an excerpt in characters, enough to identify the writer of the entry. */
const MAX_EXCERPT_LENGTH = 120

/** Last log line about a source. */
interface LoggedRejection {
  readonly entries: string
  readonly at: number
}

/**
 * Describes an invalid entry.
 *
 * @param reason - why the entry is invalid
 * @param entry - the entry as read; its text if it is not valid JSON
 */
export function rejectEntry (reason: string, entry: unknown): RejectedEntry {
  const text = typeof entry === 'string' ? entry : JSON.stringify(entry) ?? ''
  return { reason, excerpt: text.slice(0, MAX_EXCERPT_LENGTH) }
}

/** Most characters of a stack that are logged. */
const MAX_STACK_LENGTH = 2000

/** Counts rejected entries and logs them when they change. */
export class RejectedEntries {
  readonly #counter: LabelledCounter
  readonly #faults: LabelledCounter
  readonly #lastLogged = new Map<string, LoggedRejection>()
  readonly #faultLoggedAt = new Map<string, number>()

  /** @param telemetry - log and metrics */
  constructor (private readonly telemetry: Telemetry) {
    this.#counter = telemetry.labelledCounter('rejected_entries_total', 'Entries of lists that can\'t be used, at each reading', 'source')
    this.#faults = telemetry.labelledCounter('input_faults_total', 'Exceptions while a list was used, by source', 'source')
  }

  /**
   * Records the rejected entries of one reading. They are logged if they differ from those logged
   * last, at most once in ten seconds for each source.
   *
   * @param source - name of the list
   * @param rejected - all rejected entries of this reading
   * @param now - monotonic milliseconds
   */
  record (source: string, rejected: readonly RejectedEntry[], now: number): void {
    const [first] = rejected
    if (first === undefined) return
    this.#counter.count(source, rejected.length)
    const entries = JSON.stringify(rejected)
    const last = this.#lastLogged.get(source)
    if (last !== undefined && (last.entries === entries || now - last.at < LOG_INTERVAL_MS)) return
    this.#lastLogged.set(source, { entries, at: now })
    this.telemetry.logStateChange('entries-rejected', { source, entries: rejected.length, reason: first.reason, excerpt: first.excerpt })
  }

  /**
   * Records an exception that was thrown while a list was used, at most once in ten seconds for each source.
   *
   * @param source - name of the list
   * @param error - the exception
   * @param now - monotonic milliseconds
   */
  recordFault (source: string, error: unknown, now: number): void {
    this.#faults.count(source)
    if (now - (this.#faultLoggedAt.get(source) ?? Number.NEGATIVE_INFINITY) < LOG_INTERVAL_MS) return
    this.#faultLoggedAt.set(source, now)
    const { message, stack = '' } = error instanceof Error ? error : new Error(String(error))
    this.telemetry.logFault('input-fault', { source, message, stack: stack.slice(0, MAX_STACK_LENGTH) })
  }
}
