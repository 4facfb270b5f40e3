/** Replication on a follower: stores entries and snapshots of the leader and removes conflicting uncommitted entries. */
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import type { RaftState } from './RaftState.js'
import type { AppendRequest, LogEntry, SnapshotRequest } from './messages/raftMessages.js'

/** Handles the messages of a leader. */
export class FollowerReplication {
  /** @param state - shared state of the replica */
  constructor (private readonly state: RaftState) {}

  /**
   * @param request - entries, or a heartbeat without entries
   * @param now - monotonic milliseconds
   */
  onAppendRequest (request: AppendRequest, now: number): void {
    const { state } = this
    const { log } = state
    if (request.term < state.term) {
      this.#respond(request.from, false, log.lastIndex, request.sentAt)
      return
    }
    this.#followLeader(request.from, now)
    if (!this.#matchesLog(request)) {
      const lastPossibleMatch = Math.min(log.lastIndex, Math.max(request.previousIndex - 1, 0))
      this.#respond(request.from, false, Math.max(lastPossibleMatch, state.commitIndex), request.sentAt)
      return
    }
    for (const entry of request.entries) this.#storeEntry(entry)
    const matchIndex = Math.max(request.previousIndex + request.entries.length, log.snapshotIndex)
    state.commitTo(Math.min(request.commitIndex, matchIndex))
    this.#respond(request.from, true, matchIndex, request.sentAt)
  }

  /**
   * @param request - snapshot, sent because the leader's log no longer has the entries that this replica lacks
   * @param now - monotonic milliseconds
   */
  onSnapshotRequest (request: SnapshotRequest, now: number): void {
    if (request.term < this.state.term) return
    this.#followLeader(request.from, now)
    const { snapshot } = request
    if (snapshot.index > this.state.commitIndex) this.state.install(snapshot)
    this.#respond(request.from, true, snapshot.index, request.sentAt)
  }

  #matchesLog (request: AppendRequest): boolean {
    const { log } = this.state
    if (request.previousIndex < log.snapshotIndex) return true
    return log.termAt(request.previousIndex) === request.previousTerm
  }

  #storeEntry (entry: LogEntry): void {
    const { log } = this.state
    if (entry.index <= log.snapshotIndex) return
    const existingTerm = log.termAt(entry.index)
    if (existingTerm === entry.term) return
    if (existingTerm !== undefined) this.state.truncate(entry.index)
    this.state.append(entry)
  }

  #followLeader (leader: string, now: number): void {
    const { state } = this
    assertInvariant(state.role !== 'leader', 'one-leader-a-term', () => `term ${state.term} already has this replica as leader, but received a message from leader ${leader}`)
    state.lastLeaderContact = now
    state.becomeFollower(leader, now)
  }

  #respond (to: string, success: boolean, matchIndex: number, sentAt: number): void {
    const { self, term } = this.state
    this.state.sendTo(to, { kind: 'append-response', from: self.id, term, success, matchIndex, sentAt })
  }
}
