/** The leader's side of replication: what peers hold, what is sent to them, what a quorum has agreed on. */
import { PeerProgressTable } from './PeerProgressTable.js'
import type { RaftState } from './RaftState.js'
import type { AppendResponse, LogEntry, Replica } from './messages/raftMessages.js'

/** Interval before a snapshot is sent again to the same peer, in milliseconds. */
const SNAPSHOT_RESEND_MS = 1000

/** Works while its replica leads; begins anew with each term that it leads. */
export class LeaderReplication {
  #progress = new PeerProgressTable(1)
  #termStartIndex = 0
  #leaderSince = 0
  #nextHeartbeatAt = 0
  #transferDeadline = 0

  /** @param state - shared state of the replica */
  constructor (private readonly state: RaftState) {}

  /** Whether an entry of the own term is committed: only then are earlier terms' entries known to be. */
  get hasCommittedInTerm (): boolean { return this.state.commitIndex >= this.#termStartIndex }

  /**
   * @param id - peer
   * @returns last index that it is known to hold
   */
  matchIndex (id: string): number { return this.#progress.matchIndex(id) }

  /**
   * @param id - voter or learner
   * @param now - monotonic milliseconds
   * @returns milliseconds of silence; counted from the first message to the peer if it was never heard
   */
  silenceMs (id: string, now: number): number {
    if (id === this.state.self.id) return 0
    const { lastContactAt, firstSentAt } = this.#progress.progressOf(id)
    return now - Math.max(lastContactAt, firstSentAt ?? now)
  }

  /**
   * @param now - monotonic milliseconds
   * @returns the time at which a quorum last followed this leader, as of the sending
   */
  quorumContactAt (now: number): number {
    return this.#progress.quorumContactAt(this.state.log.latestMembership().voters, this.state.self.id, now)
  }

  /**
   * A new leader gets one election timeout of grace before silence counts against it.
   *
   * @param now - monotonic milliseconds
   */
  hasLostQuorum (now: number): boolean {
    return now >= Math.max(this.quorumContactAt(now), this.#leaderSince) + this.state.settings.electionTimeoutMs
  }

  /**
   * Begins to lead, after an election was won.
   *
   * @param now - monotonic milliseconds
   */
  becomeLeader (now: number): void {
    const { state } = this
    state.role = 'leader'
    state.leader = state.self.id
    state.transferTarget = undefined
    this.#leaderSince = now
    this.#termStartIndex = state.log.lastIndex + 1
    this.#progress = new PeerProgressTable(this.#termStartIndex)
    // An entry of the own term is what lets earlier terms' entries commit.
    this.appendOwn({ kind: 'empty', index: this.#termStartIndex, term: state.term }, now)
  }

  /**
   * Advances timers.
   *
   * @param now - monotonic milliseconds
   */
  tick (now: number): void {
    if (this.state.transferTarget !== undefined && now >= this.#transferDeadline) this.state.transferTarget = undefined
    if (this.hasLostQuorum(now)) {
      this.state.becomeFollower(undefined, now)
      return
    }
    if (now < this.#nextHeartbeatAt) return
    this.#nextHeartbeatAt = now + this.state.settings.heartbeatMs
    this.broadcast(now)
  }

  /**
   * @param entry - the next entry, of the own term
   * @param now - monotonic milliseconds
   */
  appendOwn (entry: LogEntry, now: number): void {
    this.state.append(entry)
    this.broadcast(now)
    this.#advanceCommit()
  }

  /**
   * Sends every peer what it lacks, or a sign of life.
   *
   * @param now - monotonic milliseconds
   */
  broadcast (now: number): void {
    for (const replica of this.state.replicas) {
      if (replica.id !== this.state.self.id) this.#sendAppend(replica, now)
    }
  }

  /**
   * Hands leadership to the voter that has most of the log.
   *
   * @param now - monotonic milliseconds
   */
  transfer (now: number): void {
    const { state } = this
    const candidates = state.log.latestMembership().voters.filter(voter => voter.id !== state.self.id)
    candidates.sort((left, right) => this.matchIndex(right.id) - this.matchIndex(left.id))
    const target = candidates[0]
    if (target === undefined) return
    state.transferTarget = target.id
    this.#transferDeadline = now + state.settings.electionTimeoutMs
    this.#sendAppend(target, now)
    this.#sendTimeoutNowIfCaughtUp()
  }

  /**
   * @param response - a peer's answer
   * @param now - monotonic milliseconds
   */
  onAppendResponse (response: AppendResponse, now: number): void {
    const { state } = this
    if (state.role !== 'leader' || response.term !== state.term) return
    const replica = state.replicas.find(candidate => candidate.id === response.from)
    if (replica === undefined) return
    const progress = this.#progress.progressOf(replica.id)
    progress.lastContactAt = Math.max(progress.lastContactAt, response.sentAt)
    if (!response.success) {
      progress.nextIndex = Math.max(progress.matchIndex + 1, Math.min(progress.nextIndex - 1, response.matchIndex + 1))
      progress.snapshotSentAt = Number.NEGATIVE_INFINITY
      this.#sendAppend(replica, now)
      return
    }
    progress.matchIndex = Math.max(progress.matchIndex, response.matchIndex)
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1)
    this.#advanceCommit()
    this.#sendTimeoutNowIfCaughtUp()
    if (progress.nextIndex <= state.log.lastIndex) this.#sendAppend(replica, now)
  }

  #sendAppend (replica: Replica, now: number): void {
    const { log, settings, self, term, commitIndex } = this.state
    const progress = this.#progress.progressOf(replica.id)
    progress.firstSentAt ??= now
    const previousIndex = progress.nextIndex - 1
    const previousTerm = log.termAt(previousIndex)
    const { snapshot } = log
    if (previousTerm === undefined || progress.nextIndex <= log.snapshotIndex) {
      if (snapshot === undefined || now < progress.snapshotSentAt + SNAPSHOT_RESEND_MS) return
      progress.snapshotSentAt = now
      this.state.send(replica, { kind: 'snapshot-request', from: self.id, term, snapshot, sentAt: now })
      return
    }
    const entries = log.slice(progress.nextIndex, settings.maxEntriesPerAppend, settings.maxBytesPerAppend)
    // Optimistic: the next message continues where this one ends; a refusal sets it back.
    progress.nextIndex += entries.length
    this.state.send(replica, { kind: 'append-request', from: self.id, term, previousIndex, previousTerm, entries, commitIndex, sentAt: now })
  }

  #advanceCommit (): void {
    const { log, self, commitIndex, term } = this.state
    const majorityIndex = this.#progress.majorityMatchIndex(log.latestMembership().voters, self.id, log.lastIndex)
    // Only entries of the own term commit by counting; earlier ones commit with them.
    if (majorityIndex > commitIndex && log.termAt(majorityIndex) === term) this.state.commitTo(majorityIndex)
  }

  #sendTimeoutNowIfCaughtUp (): void {
    const { log, self, term, transferTarget } = this.state
    const target = log.latestMembership().voters.find(voter => voter.id === transferTarget)
    if (target === undefined || this.matchIndex(target.id) !== log.lastIndex) return
    this.state.send(target, { kind: 'timeout-now', from: self.id, term })
  }
}
