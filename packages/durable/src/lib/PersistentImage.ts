/** State that results from a sequence of durable writes; shared by real and simulated disks. */
import { unreachable } from '@eelgrassmux/schema/invariant'
import type { DurableWrite, LogEntry, PersistentState, Snapshot } from '@eelgrassmux/consensus/messages/raftMessages'

/** State that a replica would read after a restart, given the writes applied so far. */
export class PersistentImage {
  #term: number
  #votedFor: string | undefined
  #snapshot: Snapshot | undefined
  #entries: LogEntry[]

  /** @param start - state before the first write */
  constructor (start: PersistentState = { term: 0, votedFor: undefined, snapshot: undefined, entries: [] }) {
    this.#term = start.term
    this.#votedFor = start.votedFor
    this.#snapshot = start.snapshot
    this.#entries = [...start.entries]
  }

  /** @returns a copy of the state that later writes do not change */
  state (): PersistentState {
    return { term: this.#term, votedFor: this.#votedFor, snapshot: this.#snapshot, entries: [...this.#entries] }
  }

  /** @param write - next write to apply */
  applyWrite (write: DurableWrite): void {
    switch (write.kind) {
      case 'vote':
        this.#term = write.term
        this.#votedFor = write.votedFor
        break
      case 'append':
        if (write.entry.index > (this.#snapshot?.index ?? 0)) this.#entries.push(write.entry)
        break
      case 'truncate':
        this.#entries = this.#entries.filter(entry => entry.index < write.fromIndex)
        break
      case 'snapshot':
        this.#applySnapshot(write.snapshot)
        break
      default: unreachable(write)
    }
  }

  /**
   * Combines a log with the snapshot in the same folder. A log that was not rewritten behind the snapshot still has entries that
   * the snapshot covers; its end may conflict with the snapshot.
   *
   * @param snapshot - snapshot that was synced at the same time as the log, or after it
   */
  restoreSnapshot (snapshot: Snapshot): void {
    const isRewritten = this.#entries.every(entry => entry.index > snapshot.index)
    if (isRewritten) this.#snapshot = snapshot
    else this.#applySnapshot(snapshot)
  }

  /** Keeps the entries after the snapshot only if the log has the snapshot's last entry with the same term. */
  #applySnapshot (snapshot: Snapshot): void {
    const covered = this.#entries.find(entry => entry.index === snapshot.index)
    const keepsTail = covered?.term === snapshot.term
    this.#entries = keepsTail ? this.#entries.filter(entry => entry.index > snapshot.index) : []
    this.#snapshot = snapshot
  }
}
