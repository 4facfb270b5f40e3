/** In-memory image of the replicated log above its last snapshot. */
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import type { LogEntry, Membership, PersistentState, Snapshot } from './messages/raftMessages.js'

/** Log entries after a snapshot; indexes are absolute. */
export class RaftLog {
  #snapshot: Snapshot | undefined
  #entries: LogEntry[]

  /** @param persisted - what the disk held at start */
  constructor (persisted: PersistentState) {
    this.#snapshot = persisted.snapshot
    this.#entries = persisted.entries.filter(entry => entry.index > this.snapshotIndex)
  }

  get snapshot (): Snapshot | undefined {
    return this.#snapshot
  }

  get snapshotIndex (): number {
    return this.#snapshot?.index ?? 0
  }

  get lastIndex (): number {
    return this.#entries.at(-1)?.index ?? this.snapshotIndex
  }

  get lastTerm (): number {
    return this.#entries.at(-1)?.term ?? this.#snapshot?.term ?? 0
  }

  /** Number of entries kept above the snapshot. */
  get length (): number {
    return this.#entries.length
  }

  /**
   * @param index - absolute index
   * @returns the term of the entry, or undefined if it is compacted away or not there
   */
  termAt (index: number): number | undefined {
    if (index === this.snapshotIndex) return this.#snapshot?.term ?? 0
    return this.entryAt(index)?.term
  }

  /**
   * @param index - absolute index
   * @returns the entry, or undefined
   */
  entryAt (index: number): LogEntry | undefined {
    return this.#entries[index - this.snapshotIndex - 1]
  }

  /**
   * @param fromIndex - first index wanted
   * @param limit - most entries to return
   * @returns entries from that index on
   */
  slice (fromIndex: number, limit: number): LogEntry[] {
    const start = fromIndex - this.snapshotIndex - 1
    return this.#entries.slice(start, start + limit)
  }

  /** @param entry - must directly follow the last entry */
  append (entry: LogEntry): void {
    assertInvariant(entry.index === this.lastIndex + 1, 'log-contiguous', () => `${entry.index} after ${this.lastIndex}`)
    this.#entries.push(entry)
  }

  /** @param fromIndex - this entry and all after it are dropped */
  truncate (fromIndex: number): void {
    assertInvariant(fromIndex > this.snapshotIndex, 'log-truncate', () => `${fromIndex} is inside the snapshot`)
    this.#entries.length = fromIndex - this.snapshotIndex - 1
  }

  /**
   * Drops entries that a snapshot covers.
   *
   * @param snapshot - newer than the present one
   */
  compact (snapshot: Snapshot): void {
    const keepTail = this.termAt(snapshot.index) === snapshot.term
    this.#entries = keepTail ? this.slice(snapshot.index + 1, this.#entries.length) : []
    this.#snapshot = snapshot
  }

  /** @returns the latest membership in the log or snapshot, committed or not */
  latestMembership (): Membership {
    for (let position = this.#entries.length - 1; position >= 0; position -= 1) {
      const entry = this.#entries[position]
      if (entry?.kind === 'membership') return entry.membership
    }
    return this.#snapshot?.membership ?? { voters: [], learners: [] }
  }

  /**
   * @param index - absolute index
   * @returns the membership in force at that index
   */
  membershipAt (index: number): Membership {
    for (let at = Math.min(index, this.lastIndex); at > this.snapshotIndex; at -= 1) {
      const entry = this.entryAt(at)
      if (entry?.kind === 'membership') return entry.membership
    }
    return this.#snapshot?.membership ?? { voters: [], learners: [] }
  }
}
