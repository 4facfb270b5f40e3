/** Replication on the leader: tracks the progress of peers, sends them entries and advances the commit index. */
import { PeerProgressTable, type PeerProgress, type PeerReport } from './PeerProgressTable.js'
import { sumCommandBytes } from './RaftLog.js'
import type { RaftState } from './RaftState.js'
import type { AppendResponse, DeliveryReport, LogEntry, Replica } from './messages/raftMessages.js'

/** Replication state of a leader; reset whenever this replica becomes leader. */
export class LeaderReplication {
  #progress = new PeerProgressTable(1)
  #termStartIndex = 0
  #leaderSince = 0
  #nextHeartbeatAt = 0
  #transferDeadline = 0

  /** @param state - shared state of the replica */
  constructor (private readonly state: RaftState) {}

  /** Whether an entry of the current term is committed; only then does the leader know which entries of earlier terms are committed. */
  get hasCommittedInTerm (): boolean { return this.state.commitIndex >= this.#termStartIndex }

  /**
   * @param id - peer id
   * @returns index of the last entry known to be on the disk of the peer
   */
  matchIndex (id: string): number { return this.#progress.matchIndex(id) }

  /** Replication to each peer in this term. */
  get peerReports (): PeerReport[] {
    const peers = this.state.replicas.filter(replica => replica.id !== this.state.self.id)
    return peers.map(replica => {
      const { matchIndex, sentBytes, rejections } = this.#progress.progressOf(replica.id)
      return { replica, matchIndex, sentBytes, rejections }
    })
  }

  /**
   * @param id - voter or learner
   * @param now - monotonic milliseconds
   * @returns milliseconds since the last contact; counted from the first message to the peer if the peer never responded
   */
  silenceMs (id: string, now: number): number {
    if (id === this.state.self.id) return 0
    const { lastContactAt, firstSentAt } = this.#progress.progressOf(id)
    return now - Math.max(lastContactAt, firstSentAt ?? now)
  }

  /**
   * @param id - peer id
   * @returns send time of the newest message that the peer has acknowledged in this term, in monotonic milliseconds; minus infinity before the first
   */
  lastContactAt (id: string): number { return this.#progress.progressOf(id).lastContactAt }

  /**
   * @param now - monotonic milliseconds
   * @returns latest send time of messages that a quorum has acknowledged, in monotonic milliseconds
   */
  quorumContactAt (now: number): number {
    return this.#progress.quorumContactAt(this.state.log.latestMembership().voters, this.state.self.id, now)
  }

  /**
   * Whether the leader has had no quorum for an election timeout. A new leader has one election timeout to reach its first quorum.
   *
   * @param now - monotonic milliseconds
   */
  hasLostQuorum (now: number): boolean {
    return now >= Math.max(this.quorumContactAt(now), this.#leaderSince) + this.state.settings.electionTimeoutMs
  }

  /**
   * Becomes leader after a won election.
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
    // Entries of earlier terms can only commit together with an entry of the current term.
    this.appendOwn({ kind: 'empty', index: this.#termStartIndex, term: state.term }, now)
  }

  /**
   * Advances the timers for heartbeats, quorum loss and leadership transfer.
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
   * @param entry - next entry, of the current term
   * @param now - monotonic milliseconds
   */
  appendOwn (entry: LogEntry, now: number): void {
    this.state.append(entry)
    this.broadcast(now)
    this.#advanceCommit()
  }

  /**
   * Sends each peer the entries it lacks, or a heartbeat if it lacks none.
   *
   * @param now - monotonic milliseconds
   */
  broadcast (now: number): void {
    for (const replica of this.state.replicas) {
      if (replica.id !== this.state.self.id) this.#sendAppend(replica, now)
    }
  }

  /**
   * Transfers leadership to the voter with the most complete log.
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
   * @param response - response of a peer
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
      this.#onRejection(replica, progress, response, now)
      return
    }
    progress.matchIndex = Math.max(progress.matchIndex, response.matchIndex)
    if (progress.inFlight !== undefined && progress.matchIndex >= progress.inFlight.lastIndex) progress.inFlight = undefined
    if (progress.matchIndex >= progress.nextIndex - 1) {
      progress.isProbing = false
      progress.nextIndex = progress.matchIndex + 1
    }
    this.#advanceCommit()
    this.#sendTimeoutNowIfCaughtUp()
    const canSendMore = progress.inFlight === undefined && !progress.isProbing
    if (canSendMore && progress.nextIndex <= state.log.lastIndex) this.#sendAppend(replica, now)
  }

  /**
   * @param report - whether a message with entries or a snapshot reached its receiver
   */
  onDelivery ({ to, term, sentAt, isDelivered }: DeliveryReport): void {
    if (this.state.role !== 'leader' || term !== this.state.term) return
    const progress = this.#progress.progressOf(to)
    if (progress.inFlight?.sentAt !== sentAt) return
    progress.wasLost = !isDelivered
    if (isDelivered) {
      progress.inFlight.isDelivered = true
      return
    }
    // Sent again with the next heartbeat, which limits the rate of attempts while the peer is down.
    progress.nextIndex = progress.inFlight.firstIndex
    progress.inFlight = undefined
  }

  #onRejection (replica: Replica, progress: PeerProgress, { sentAt, matchIndex }: AppendResponse, now: number): void {
    // Rejections of earlier messages say nothing about what has been sent since.
    if (sentAt < (progress.inFlight?.sentAt ?? progress.probedAt)) return
    progress.rejections += 1
    progress.inFlight = undefined
    progress.isProbing = true
    progress.probedAt = Number.NEGATIVE_INFINITY
    progress.nextIndex = Math.max(progress.matchIndex + 1, Math.min(progress.nextIndex - 1, matchIndex + 1))
    this.#sendAppend(replica, now)
  }

  /** Sends what the peer lacks. While something is in flight, or it is not known what the peer lacks, sends a message without entries. */
  #sendAppend (replica: Replica, now: number): void {
    const { log, settings, self, term } = this.state
    const progress = this.#progress.progressOf(replica.id)
    progress.firstSentAt ??= now
    if (this.#isUnverifiable(progress, now)) {
      progress.nextIndex = progress.matchIndex + 1
      progress.inFlight = undefined
    }
    if (progress.inFlight !== undefined) {
      // A message whose delivery is never reported counts as delivered after a while, so that its loss is found out.
      if (now >= progress.inFlight.sentAt + settings.deliveryTimeoutMs) progress.inFlight.isDelivered = true
      this.#sendHeartbeat(replica, progress.inFlight.isDelivered ? progress.inFlight.lastIndex : progress.matchIndex, now)
      return
    }
    // Entries may be lost while short messages arrive; the peer must hear of its leader all the same.
    if (progress.wasLost) this.#sendHeartbeat(replica, progress.matchIndex, now)
    if (progress.nextIndex <= log.snapshotIndex || log.termAt(progress.nextIndex - 1) === undefined) {
      this.#sendSnapshot(replica, progress, now)
      return
    }
    if (progress.isProbing) {
      // Only the answer to the last probe counts, so frequent broadcasts must not replace a probe that is on its way.
      const isProbeDue = now >= progress.probedAt + settings.heartbeatMs
      if (isProbeDue) progress.probedAt = now
      this.#sendHeartbeat(replica, isProbeDue ? progress.nextIndex - 1 : progress.matchIndex, now)
      return
    }
    const entries = log.slice(progress.nextIndex, settings.maxEntriesPerAppend, settings.maxBytesPerAppend)
    if (entries.length > 0) {
      progress.inFlight = { firstIndex: progress.nextIndex, lastIndex: progress.nextIndex + entries.length - 1, sentAt: now, isDelivered: false }
      progress.sentBytes += sumCommandBytes(entries)
    }
    const previousIndex = progress.nextIndex - 1
    progress.nextIndex += entries.length
    this.state.send(replica, {
      kind: 'append-request', from: self.id, term, previousIndex, previousTerm: log.termAt(previousIndex) ?? 0, entries, commitIndex: this.state.commitIndex, sentAt: now
    })
  }

  /**
   * Whether a peer has not acknowledged a message within the delivery timeout, and the log no longer has the last entry of it. A
   * heartbeat at a compacted index can't be compared with the peer's log, so no rejection would show that the message was lost.
   */
  #isUnverifiable ({ inFlight }: PeerProgress, now: number): boolean {
    const { log, settings } = this.state
    return inFlight !== undefined && now >= inFlight.sentAt + settings.deliveryTimeoutMs && log.termAt(inFlight.lastIndex) === undefined
  }

  #sendSnapshot (replica: Replica, progress: PeerProgress, now: number): void {
    const { log: { snapshot }, self, term } = this.state
    if (snapshot === undefined) return
    progress.isProbing = false
    progress.inFlight = { firstIndex: progress.nextIndex, lastIndex: snapshot.index, sentAt: now, isDelivered: false }
    progress.sentBytes += snapshot.state.length
    this.state.send(replica, { kind: 'snapshot-request', from: self.id, term, snapshot, sentAt: now })
  }

  #sendHeartbeat (replica: Replica, index: number, now: number): void {
    const { log, self, term, commitIndex } = this.state
    const previousTerm = log.termAt(index)
    // Every log matches at index 0; the entries at a compacted index can't be compared.
    const [previousIndex, comparedTerm] = previousTerm === undefined ? [0, 0] : [index, previousTerm]
    this.state.send(replica, { kind: 'append-request', from: self.id, term, previousIndex, previousTerm: comparedTerm, entries: [], commitIndex, sentAt: now })
  }

  #advanceCommit (): void {
    const { log, self, commitIndex, term } = this.state
    const majorityIndex = this.#progress.majorityMatchIndex(log.latestMembership().voters, self.id, log.lastIndex)
    // Raft counts replicas only for entries of the current term; earlier entries commit along with them.
    if (majorityIndex > commitIndex && log.termAt(majorityIndex) === term) this.state.commitTo(majorityIndex)
  }

  #sendTimeoutNowIfCaughtUp (): void {
    const { log, self, term, transferTarget } = this.state
    const target = log.latestMembership().voters.find(voter => voter.id === transferTarget)
    if (target === undefined || this.matchIndex(target.id) !== log.lastIndex) return
    this.state.send(target, { kind: 'timeout-now', from: self.id, term })
  }
}
