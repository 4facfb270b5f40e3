/** In-memory image of the replicated log above its last snapshot. */
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import type { LogEntry, Membership, PersistentState, Snapshot } from './messages/raftMessages.js'

/** Log entries after a snapshot; indexes are absolute. */
export class RaftLog {
  #snapshot: Snapshot | undefined
  #entries: LogEntry[]
  #commandBytes: number

  /** @param persisted - what the disk held at start */
  constructor (persisted: PersistentState) {
    this.#snapshot = persisted.snapshot
    this.#entries = persisted.entries.filter(entry => entry.index > this.snapshotIndex)
    this.#commandBytes = sumBytes(this.#entries)
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

  /** Bytes of all commands kept above the snapshot. */
  get commandBytes (): number {
    return this.#commandBytes
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
   * @param byteLimit - bytes of commands after which no further entry is added
   * @returns entries from that index on
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
    assertInvariant(entry.index === this.lastIndex + 1, 'log-contiguous', () => `${entry.index} after ${this.lastIndex}`)
    this.#entries.push(entry)
    this.#commandBytes += commandBytes(entry)
  }

  /** @param fromIndex - this entry and all after it are dropped */
  truncate (fromIndex: number): void {
    assertInvariant(fromIndex > this.snapshotIndex, 'log-truncate', () => `${fromIndex} is inside the snapshot`)
    this.#entries.length = fromIndex - this.snapshotIndex - 1
    this.#commandBytes = sumBytes(this.#entries)
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
    this.#commandBytes = sumBytes(this.#entries)
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

function sumBytes (entries: readonly LogEntry[]): number {
  return entries.reduce((sum, entry) => sum + commandBytes(entry), 0)
}
