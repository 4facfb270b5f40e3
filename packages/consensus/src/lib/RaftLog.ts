/** In-memory copy of the replicated log after its last snapshot. */
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import type { LogEntry, Membership, PersistentState, Snapshot } from './messages/raftMessages.js'

/** Log entries after the snapshot. All indexes are absolute. */
export class RaftLog {
  #snapshot: Snapshot | undefined
  #entries: LogEntry[]
  #commandBytes: number

  /** @param persisted - state read from the disk */
  constructor (persisted: PersistentState) {
    this.#snapshot = persisted.snapshot
    this.#entries = persisted.entries.filter(entry => entry.index > this.snapshotIndex)
    this.#commandBytes = sumCommandBytes(this.#entries)
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

  /** Total bytes of the commands after the snapshot. */
  get commandBytes (): number {
    return this.#commandBytes
  }

  /** Number of entries after the snapshot. */
  get length (): number {
    return this.#entries.length
  }

  /**
   * @param index - absolute index
   * @returns the term of the entry, or undefined if it was compacted or does not exist
   */
  termAt (index: number): number | undefined {
    if (index === this.snapshotIndex) return this.#snapshot?.term ?? 0
    return this.entryAt(index)?.term
  }

  /**
   * @param index - absolute index
   * @returns the entry, or undefined if it was compacted or does not exist
   */
  entryAt (index: number): LogEntry | undefined {
    return this.#entries[index - this.snapshotIndex - 1]
  }

  /**
   * @param fromIndex - index of the first entry
   * @param limit - maximum number of entries
   * @param byteLimit - command bytes after which no further entry is added
   * @returns entries starting at `fromIndex`
   */
  slice (fromIndex: number, limit: number, byteLimit = Number.POSITIVE_INFINITY): LogEntry[] {
    const start = fromIndex - this.snapshotIndex - 1
    let bytes = 0
    let end = start
    while (end < this.#entries.length && end - start < limit && bytes < byteLimit) {
      bytes += commandBytes(this.#entries[end])
      end += 1
    }
    return this.#entries.slice(start, end)
  }

  /** @param entry - must directly follow the last entry */
  append (entry: LogEntry): void {
    assertInvariant(entry.index === this.lastIndex + 1, 'log-contiguous', () => `entry ${entry.index} does not follow the last entry ${this.lastIndex}`)
    this.#entries.push(entry)
    this.#commandBytes += commandBytes(entry)
  }

  /** @param fromIndex - first entry to remove, together with all later ones */
  truncate (fromIndex: number): void {
    assertInvariant(fromIndex > this.snapshotIndex, 'log-truncate', () => `cannot truncate at ${fromIndex}: the index is covered by the snapshot`)
    this.#entries.length = fromIndex - this.snapshotIndex - 1
    this.#commandBytes = sumCommandBytes(this.#entries)
  }

  /**
   * Removes the entries that a snapshot covers. Later entries stay only if the log matches the snapshot at its index.
   *
   * @param snapshot - newer than the current snapshot
   */
  compact (snapshot: Snapshot): void {
    const keepTail = this.termAt(snapshot.index) === snapshot.term
    this.#entries = keepTail ? this.slice(snapshot.index + 1, this.#entries.length) : []
    this.#snapshot = snapshot
    this.#commandBytes = sumCommandBytes(this.#entries)
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
    for (let position = Math.min(index, this.lastIndex); position > this.snapshotIndex; position -= 1) {
      const entry = this.entryAt(position)
      if (entry?.kind === 'membership') return entry.membership
    }
    return this.#snapshot?.membership ?? { voters: [], learners: [] }
  }
}

function commandBytes (entry: LogEntry | undefined): number {
  return entry?.kind === 'command' ? entry.command.length : 0
}

/**
 * @param entries - log entries
 * @returns total bytes of their commands
 */
export function sumCommandBytes (entries: readonly LogEntry[]): number {
  return entries.reduce((sum, entry) => sum + commandBytes(entry), 0)
}
