/** What a sequence of durable writes amounts to; the same rules for real and simulated disks. */
import { unreachable } from '@eelgrassmux/schema/invariant'
import type { DurableWrite, LogEntry, PersistentState, Snapshot } from '@eelgrassmux/consensus/messages/raftMessages'

/** State that a replica finds after the writes taken so far. */
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

  /** @returns the state, independent of later writes */
  state (): PersistentState {
    return { term: this.#term, votedFor: this.#votedFor, snapshot: this.#snapshot, entries: [...this.#entries] }
  }

  /** @param write - the next write */
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
        this.#takeSnapshot(write.snapshot)
        break
      default: unreachable(write)
    }
  }

  /** Entries behind a snapshot stay only if the log agreed with it. */
  #takeSnapshot (snapshot: Snapshot): void {
    const covered = this.#entries.find(entry => entry.index === snapshot.index)
    const keepsTail = covered?.term === snapshot.term
    this.#entries = keepsTail ? this.#entries.filter(entry => entry.index > snapshot.index) : []
    this.#snapshot = snapshot
  }
}
