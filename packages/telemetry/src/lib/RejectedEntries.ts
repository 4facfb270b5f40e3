/** Entries of lists that were read and can't be used, as metrics and log show them. */
import type { LabelledCounter, Telemetry } from './Telemetry.js'

/** One entry that another writer may have put into a list. */
export interface RejectedEntry {
  /** What is wrong with it. */
  readonly reason: string
  /** Its beginning. */
  readonly excerpt: string
}

/** Shortest time between two lines about one source, in milliseconds: lists are read several times a second. */
const LINE_INTERVAL_MS = 10_000

/** Longest excerpt, in characters: enough to find the writer. */
const EXCERPT_LENGTH = 120

/** What was last said of a source. */
interface SaidOfSource {
  readonly entries: string
  readonly at: number
}

/**
 * @param reason - what is wrong with the entry
 * @param entry - as read; what is no JSON is given as its text
 */
export function rejectEntry (reason: string, entry: unknown): RejectedEntry {
  const text = typeof entry === 'string' ? entry : JSON.stringify(entry) ?? ''
  return { reason, excerpt: text.slice(0, EXCERPT_LENGTH) }
}

/** Counts rejected entries, and says once which they are. */
export class RejectedEntries {
  readonly #counter: LabelledCounter
  readonly #said = new Map<string, SaidOfSource>()

  /** @param telemetry - log and metrics */
  constructor (private readonly telemetry: Telemetry) {
    this.#counter = telemetry.labelledCounter('rejected_entries_total', 'Entries of lists that can\'t be used, at each reading', 'source')
  }

  /**
   * Takes the rejected entries of one reading. They are logged when others are
   * rejected than last time, at most once in ten seconds for each source.
   *
   * @param source - which list
   * @param rejected - all rejected entries of this reading
   * @param now - monotonic milliseconds
   */
  record (source: string, rejected: readonly RejectedEntry[], now: number): void {
    const [first] = rejected
    if (first === undefined) return
    this.#counter.count(source, rejected.length)
    const entries = JSON.stringify(rejected)
    const said = this.#said.get(source)
    if (said !== undefined && (said.entries === entries || now - said.at < LINE_INTERVAL_MS)) return
    this.#said.set(source, { entries, at: now })
    this.telemetry.logStateChange('entries-rejected', { source, entries: rejected.length, reason: first.reason, excerpt: first.excerpt })
  }
}
