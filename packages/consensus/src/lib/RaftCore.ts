/**
 * Agreement on one log by a quorum of control hosts.
 *
 * A core without input or output: each method takes the time and returns
 * effects. The caller must sync `writes` before it carries out anything else of
 * the same effects; that one rule gives "nothing acknowledged before it is
 * synced" for votes, appends and commits alike.
 */
import { assertInvariant, unreachable } from '@eelgrassmux/schema/invariant'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { Formation, type FormationState } from './Formation.js'
import { PeerProgressTable } from './PeerProgressTable.js'
import type { RaftError } from './RaftError.js'
import { RaftLog } from './RaftLog.js'
import type { RaftSettings } from './RaftSettings.js'
import type {
  AppendRequest, AppendResponse, LogEntry, Membership, PersistentState, RaftEffects, RaftMessage, Replica, Snapshot,
  SnapshotRequest, VoteRequest, VoteResponse
} from './messages/raftMessages.js'

export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader'

/** Interval before a snapshot is sent again to the same peer, in milliseconds. */
const SNAPSHOT_RESEND_MS = 1000

/** One replica's view of the agreed log. */
export class RaftCore {
  #term: number
  #votedFor: string | undefined
  #role: RaftRole = 'follower'
  #leader: string | undefined
  #commitIndex: number
  #electionDeadline: number
  #lastLeaderContact: number
  #heartbeatDue = 0
  #votes = new Set<string>()
  #voteRequestDue = 0
  /** Whether the leader asked this replica to stand, so that voters need not wait for its silence. */
  #isTransfer = false
  #progress = new PeerProgressTable(1)
  #termStartIndex = 0
  #leaderSince = 0
  #transferTarget: string | undefined
  #transferDeadline = 0
  #effects: RaftEffects = emptyEffects()
  readonly #log: RaftLog
  readonly #formation: Formation

  /**
   * @param self - id and address of this replica
   * @param persisted - state read from the disk
   * @param settings - timing and limits
   * @param random - source of numbers in [0, 1)
   * @param startedAt - monotonic milliseconds since which this replica has certainly sent nothing: the start of its process
   */
  constructor (
    readonly self: Replica,
    persisted: PersistentState,
    readonly settings: RaftSettings,
    private readonly random: () => number,
    startedAt: number
  ) {
    this.#term = persisted.term
    this.#votedFor = persisted.votedFor
    this.#log = new RaftLog(persisted)
    this.#formation = new Formation(settings.minimumVoters, persisted.snapshot)
    this.#commitIndex = this.#log.snapshotIndex
    // A restarted replica may have promised a leader its silence: it waits before it votes.
    this.#lastLeaderContact = startedAt
    this.#electionDeadline = startedAt + this.#electionDelay()
  }

  // --- Views ---

  get term (): number { return this.#term }
  get role (): RaftRole { return this.#role }
  get commitIndex (): number { return this.#commitIndex }
  get lastIndex (): number { return this.#log.lastIndex }
  get logLength (): number { return this.#log.length }
  get logBytes (): number { return this.#log.commandBytes }
  get snapshot (): Snapshot | undefined { return this.#log.snapshot }
  get membership (): Membership { return this.#log.latestMembership() }
  /** Membership that no crash can take back; a repair is complete only when it is here. */
  get committedMembership (): Membership { return this.#log.membershipAt(this.#commitIndex) }
  /** Whether the latest membership is not committed yet. */
  get isMembershipPending (): boolean { return this.#membershipPending() }
  /** What this replica has committed of the forming of its group. */
  get formation (): FormationState { return this.#formation.state }

  /** The leader this replica knows of. */
  get leader (): Replica | undefined {
    return this.#replicas().find(replica => replica.id === this.#leader)
  }

  /**
   * @param index - absolute index
   * @returns the entry held at that index
   */
  entryAt (index: number): LogEntry | undefined { return this.#log.entryAt(index) }

  /**
   * Whether this replica leads and a quorum confirmed it recently enough that no other can.
   *
   * @param now - monotonic milliseconds
   */
  holdsLease (now: number): boolean {
    if (this.#role !== 'leader' || this.#transferTarget !== undefined) return false
    return now < this.#quorumContact(now) + this.settings.leaseMs
  }

  /**
   * Whether the leader may answer reads from its applied state.
   *
   * @param now - monotonic milliseconds
   */
  canRead (now: number): boolean {
    return this.holdsLease(now) && this.#commitIndex >= this.#termStartIndex
  }

  /**
   * Whether a quorum followed this leader at some time after the given one, so
   * that nothing newer can have been committed by another leader before it.
   * Unlike a lease this holds also if the host was suspended meanwhile.
   *
   * @param readAt - monotonic milliseconds at which the read began
   * @param now - monotonic milliseconds
   */
  isReadConfirmed (readAt: number, now: number): boolean {
    if (this.#role !== 'leader' || this.#commitIndex < this.#termStartIndex) return false
    return this.membership.voters.length === 1 || this.#quorumContact(now) > readAt
  }

  /**
   * How long a peer has been silent towards this leader.
   *
   * @param id - voter or learner
   * @param now - monotonic milliseconds
   * @returns milliseconds; counted from the leader's first message to the peer if it was never heard
   */
  silentFor (id: string, now: number): number {
    if (id === this.self.id) return 0
    const { contactAt, firstSentAt } = this.#progress.of(id)
    return now - Math.max(contactAt, firstSentAt ?? now)
  }

  // --- Inputs ---

  /**
   * Advances timers.
   *
   * @param now - monotonic milliseconds
   * @returns effects to carry out
   */
  tick (now: number): RaftEffects {
    if (this.#role === 'leader') this.#tickLeader(now)
    else if (now >= this.#electionDeadline && this.#isVoter(this.self.id)) this.#startPreVote(now)
    else if (this.#role !== 'follower' && now >= this.#voteRequestDue) this.#requestVotes(now)
    return this.#takeEffects()
  }

  /**
   * Takes a message from another replica.
   *
   * @param message - a parsed message
   * @param now - monotonic milliseconds
   * @returns effects to carry out
   */
  receive (message: RaftMessage, now: number): RaftEffects {
    if (this.#mustIgnoreElection(message, now)) return this.#takeEffects()
    const isPreVote = (message.kind === 'vote-request' || message.kind === 'vote-response') && message.preVote
    if (message.term > this.#term && !isPreVote) this.#adoptTerm(message.term, now)
    switch (message.kind) {
      case 'vote-request': this.#onVoteRequest(message, now); break
      case 'vote-response': this.#onVoteResponse(message, now); break
      case 'append-request': this.#onAppendRequest(message, now); break
      case 'append-response': this.#onAppendResponse(message, now); break
      case 'snapshot-request': this.#onSnapshotRequest(message, now); break
      case 'timeout-now':
        if (message.term === this.#term && this.#isVoter(this.self.id)) this.#startElection(now, true)
        break
      default: unreachable(message)
    }
    return this.#takeEffects()
  }

  /**
   * Appends a command on the leader, if its group is formed: one step, so that no
   * change of role or membership comes between the question and the append.
   *
   * @param command - encoded command
   * @param now - monotonic milliseconds
   * @returns the index it will have if it commits, and effects
   */
  propose (command: Uint8Array, now: number): Result<{ index: number, term: number, effects: RaftEffects }, RaftError> {
    if (this.#role !== 'leader' || this.#transferTarget !== undefined) return fail(this.#notLeader())
    if (!this.#formation.isFormed) return fail({ kind: 'forming', state: this.#formation.state })
    const entry: LogEntry = { kind: 'command', index: this.#log.lastIndex + 1, term: this.#term, command }
    this.#appendOwn(entry, now)
    return succeed({ index: entry.index, term: entry.term, effects: this.#takeEffects() })
  }

  /**
   * Asks all peers for a sign of life at once, to confirm a read.
   *
   * @param now - monotonic milliseconds
   * @returns effects to carry out
   */
  probeQuorum (now: number): RaftEffects {
    if (this.#role === 'leader') this.#broadcast(now)
    return this.#takeEffects()
  }

  /**
   * Adds a learner, or replaces its address.
   *
   * @param replica - new replica; it receives the log and does not vote
   * @param now - monotonic milliseconds
   */
  addLearner (replica: Replica, now: number): Result<RaftEffects, RaftError> {
    // Another replica's membership may be old: it answers for nothing.
    if (this.#role !== 'leader') return fail(this.#notLeader())
    const { voters, learners } = this.membership
    if (voters.some(voter => voter.id === replica.id)) return succeed(this.#takeEffects())
    const others = learners.filter(learner => learner.id !== replica.id)
    return this.#changeMembership({ voters, learners: [...others, replica] }, now)
  }

  /**
   * Makes a learner a voter once it has nearly all of the log.
   *
   * @param id - learner's id
   * @param now - monotonic milliseconds
   */
  promote (id: string, now: number): Result<RaftEffects, RaftError> {
    if (this.#role !== 'leader') return fail(this.#notLeader())
    const { voters, learners } = this.membership
    if (voters.some(voter => voter.id === id)) return succeed(this.#takeEffects())
    const learner = learners.find(candidate => candidate.id === id)
    if (learner === undefined) return fail({ kind: 'unknown-replica', id })
    const lag = this.#log.lastIndex - this.#progress.matchIndex(id)
    if (lag > this.settings.promotionLag) return fail({ kind: 'learner-lags', lag })
    const rest = learners.filter(candidate => candidate.id !== id)
    return this.#changeMembership({ voters: [...voters, learner], learners: rest }, now)
  }

  /**
   * Removes a replica from the group. That one is unknown is said of a committed membership only.
   *
   * @param id - voter or learner
   * @param now - monotonic milliseconds
   */
  remove (id: string, now: number): Result<RaftEffects, RaftError> {
    if (this.#role !== 'leader') return fail(this.#notLeader())
    if (id === this.self.id) return fail({ kind: 'is-leader', id })
    if (this.#isChangeInProgress()) return fail({ kind: 'change-in-progress' })
    const { voters, learners } = this.membership
    if (!this.#replicas().some(replica => replica.id === id)) return fail({ kind: 'unknown-replica', id })
    const without = (replicas: Replica[]): Replica[] => replicas.filter(replica => replica.id !== id)
    return this.#changeMembership({ voters: without(voters), learners: without(learners) }, now)
  }

  /**
   * Hands leadership to the voter that has most of the log, for a planned stop.
   *
   * @param now - monotonic milliseconds
   * @returns effects; leadership ends when the target's election wins or the transfer times out
   */
  transferLeadership (now: number): RaftEffects {
    if (this.#role === 'leader' && this.#transferTarget === undefined) {
      const candidates = this.membership.voters.filter(voter => voter.id !== this.self.id)
      candidates.sort((left, right) => this.#progress.matchIndex(right.id) - this.#progress.matchIndex(left.id))
      const target = candidates[0]
      if (target !== undefined) {
        this.#transferTarget = target.id
        this.#transferDeadline = now + this.settings.electionTimeoutMs
        this.#sendAppend(target, now)
        this.#maybeSendTimeoutNow()
      }
    }
    return this.#takeEffects()
  }

  /**
   * Compacts the log up to a snapshot of applied state; not before the group is formed, since a snapshot stands for that.
   *
   * @param index - last applied index
   * @param state - encoded state machine
   * @returns effects
   */
  compact (index: number, state: Uint8Array): RaftEffects {
    assertInvariant(index <= this.#commitIndex, 'snapshot-committed', () => `${index} above ${this.#commitIndex}`)
    const term = this.#log.termAt(index)
    if (this.#formation.isFormed && term !== undefined && index > this.#log.snapshotIndex) {
      const snapshot: Snapshot = { index, term, membership: this.#log.membershipAt(index), state }
      this.#log.compact(snapshot)
      this.#effects.writes.push({ kind: 'snapshot', snapshot })
    }
    return this.#takeEffects()
  }

  /**
   * Starts a new group of one voter on an empty disk.
   *
   * @param now - monotonic milliseconds
   */
  bootstrap (now: number): RaftEffects {
    assertInvariant(this.#log.lastIndex === 0 && this.#term === 0, 'bootstrap-empty', () => 'the disk is not empty')
    this.#setVote(1, undefined)
    this.#append({ kind: 'membership', index: 1, term: 1, membership: { voters: [this.self], learners: [] } })
    this.#electionDeadline = now
    return this.#takeEffects()
  }

  // --- Elections ---

  /** A voter that hears a live leader ignores elections, so the leader's lease holds. */
  #mustIgnoreElection (message: RaftMessage, now: number): boolean {
    if (message.kind !== 'vote-request' || message.transfer) return false
    if (this.#role === 'leader') return !this.#lostQuorum(now)
    return now < this.#lastLeaderContact + this.settings.electionTimeoutMs
  }

  #startPreVote (now: number): void {
    this.#role = 'pre-candidate'
    this.#leader = undefined
    this.#votes = new Set([this.self.id])
    this.#electionDeadline = now + this.#electionDelay()
    if (this.#hasQuorum(this.#votes)) {
      this.#startElection(now, false)
      return
    }
    this.#isTransfer = false
    this.#requestVotes(now)
  }

  #startElection (now: number, transfer: boolean): void {
    this.#role = 'candidate'
    this.#leader = undefined
    this.#setVote(this.#term + 1, this.self.id)
    this.#votes = new Set([this.self.id])
    this.#electionDeadline = now + this.#electionDelay()
    if (this.#hasQuorum(this.#votes)) {
      this.#becomeLeader(now)
      return
    }
    this.#isTransfer = transfer
    this.#requestVotes(now)
  }

  /** Repeated with each heartbeat: after a restart of all replicas, first messages find no listener and are lost. */
  #requestVotes (now: number): void {
    this.#voteRequestDue = now + this.settings.heartbeatMs
    const { lastIndex, lastTerm } = this.#log
    const preVote = this.#role === 'pre-candidate'
    const term = preVote ? this.#term + 1 : this.#term
    const transfer = this.#isTransfer
    for (const voter of this.membership.voters) {
      if (this.#votes.has(voter.id)) continue
      this.#send(voter, { kind: 'vote-request', from: this.self.id, term, preVote, lastIndex, lastTerm, transfer })
    }
  }

  #onVoteRequest (request: VoteRequest, now: number): void {
    const upToDate = request.lastTerm > this.#log.lastTerm ||
      (request.lastTerm === this.#log.lastTerm && request.lastIndex >= this.#log.lastIndex)
    const free = request.preVote
      ? request.term > this.#term
      : request.term === this.#term && (this.#votedFor === undefined || this.#votedFor === request.from)
    const granted = free && upToDate && this.#role !== 'leader'
    if (granted && !request.preVote) {
      this.#setVote(this.#term, request.from)
      this.#electionDeadline = now + this.#electionDelay()
    }
    this.#sendTo(request.from, {
      kind: 'vote-response', from: this.self.id, term: this.#term, preVote: request.preVote, granted, askedTerm: request.term
    })
  }

  #onVoteResponse (response: VoteResponse, now: number): void {
    if (response.term > this.#term) {
      this.#adoptTerm(response.term, now)
      return
    }
    const expectedTerm = response.preVote ? this.#term + 1 : this.#term
    const expectedRole = response.preVote ? 'pre-candidate' : 'candidate'
    if (!response.granted || response.askedTerm !== expectedTerm || this.#role !== expectedRole) return
    this.#votes.add(response.from)
    if (!this.#hasQuorum(this.#votes)) return
    if (response.preVote) this.#startElection(now, false)
    else this.#becomeLeader(now)
  }

  #becomeLeader (now: number): void {
    this.#role = 'leader'
    this.#leader = this.self.id
    this.#transferTarget = undefined
    this.#leaderSince = now
    this.#termStartIndex = this.#log.lastIndex + 1
    this.#progress = new PeerProgressTable(this.#termStartIndex)
    // An entry of the own term is what lets earlier terms' entries commit.
    this.#appendOwn({ kind: 'empty', index: this.#termStartIndex, term: this.#term }, now)
  }

  #adoptTerm (term: number, now: number): void {
    this.#setVote(term, undefined)
    this.#becomeFollower(undefined, now)
  }

  #becomeFollower (leader: string | undefined, now: number): void {
    this.#role = 'follower'
    this.#leader = leader
    this.#transferTarget = undefined
    this.#electionDeadline = now + this.#electionDelay()
  }

  // --- Replication, leader's side ---

  #tickLeader (now: number): void {
    if (this.#transferTarget !== undefined && now >= this.#transferDeadline) this.#transferTarget = undefined
    if (this.#lostQuorum(now)) {
      this.#becomeFollower(undefined, now)
      return
    }
    if (now < this.#heartbeatDue) return
    this.#heartbeatDue = now + this.settings.heartbeatMs
    this.#broadcast(now)
  }

  #appendOwn (entry: LogEntry, now: number): void {
    this.#append(entry)
    this.#broadcast(now)
    this.#advanceCommit()
  }

  #broadcast (now: number): void {
    for (const replica of this.#replicas()) {
      if (replica.id !== this.self.id) this.#sendAppend(replica, now)
    }
  }

  #sendAppend (replica: Replica, now: number): void {
    const progress = this.#progress.of(replica.id)
    progress.firstSentAt ??= now
    const previousIndex = progress.nextIndex - 1
    const previousTerm = this.#log.termAt(previousIndex)
    const snapshot = this.#log.snapshot
    if (previousTerm === undefined || progress.nextIndex <= this.#log.snapshotIndex) {
      if (snapshot === undefined || now < progress.snapshotSentAt + SNAPSHOT_RESEND_MS) return
      progress.snapshotSentAt = now
      this.#send(replica, { kind: 'snapshot-request', from: this.self.id, term: this.#term, snapshot, sentAt: now })
      return
    }
    const entries = this.#log.slice(progress.nextIndex, this.settings.maxEntriesPerAppend, this.settings.maxBytesPerAppend)
    // Optimistic: the next message continues where this one ends; a refusal sets it back.
    progress.nextIndex += entries.length
    this.#send(replica, {
      kind: 'append-request',
      from: this.self.id,
      term: this.#term,
      previousIndex,
      previousTerm,
      entries,
      commitIndex: this.#commitIndex,
      sentAt: now
    })
  }

  #onAppendResponse (response: AppendResponse, now: number): void {
    if (this.#role !== 'leader' || response.term !== this.#term) return
    const replica = this.#replicas().find(candidate => candidate.id === response.from)
    if (replica === undefined) return
    const progress = this.#progress.of(replica.id)
    progress.contactAt = Math.max(progress.contactAt, response.sentAt)
    if (!response.success) {
      progress.nextIndex = Math.max(progress.matchIndex + 1, Math.min(progress.nextIndex - 1, response.matchIndex + 1))
      progress.snapshotSentAt = Number.NEGATIVE_INFINITY
      this.#sendAppend(replica, now)
      return
    }
    progress.matchIndex = Math.max(progress.matchIndex, response.matchIndex)
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1)
    this.#advanceCommit()
    this.#maybeSendTimeoutNow()
    if (progress.nextIndex <= this.#log.lastIndex) this.#sendAppend(replica, now)
  }

  #advanceCommit (): void {
    const agreed = this.#progress.agreedIndex(this.membership.voters, this.self.id, this.#log.lastIndex)
    // Only entries of the own term commit by counting; earlier ones commit with them.
    if (agreed > this.#commitIndex && this.#log.termAt(agreed) === this.#term) this.#commitTo(agreed)
  }

  #maybeSendTimeoutNow (): void {
    const target = this.membership.voters.find(voter => voter.id === this.#transferTarget)
    if (target === undefined || this.#progress.matchIndex(target.id) !== this.#log.lastIndex) return
    this.#send(target, { kind: 'timeout-now', from: this.self.id, term: this.#term })
  }

  #changeMembership (membership: Membership, now: number): Result<RaftEffects, RaftError> {
    if (this.#role !== 'leader') return fail(this.#notLeader())
    if (this.#isChangeInProgress()) return fail({ kind: 'change-in-progress' })
    this.#appendOwn({ kind: 'membership', index: this.#log.lastIndex + 1, term: this.#term, membership }, now)
    return succeed(this.#takeEffects())
  }

  #isChangeInProgress (): boolean {
    return this.#commitIndex < this.#termStartIndex || this.#membershipPending()
  }

  #membershipPending (): boolean {
    for (let index = this.#commitIndex + 1; index <= this.#log.lastIndex; index += 1) {
      if (this.#log.entryAt(index)?.kind === 'membership') return true
    }
    return false
  }

  // --- Replication, follower's side ---

  #onAppendRequest (request: AppendRequest, now: number): void {
    if (request.term < this.#term) {
      this.#answerAppend(request.from, false, this.#log.lastIndex, request.sentAt)
      return
    }
    this.#followLeader(request.from, now)
    if (!this.#matchesLog(request)) {
      const hint = Math.min(this.#log.lastIndex, Math.max(request.previousIndex - 1, 0))
      this.#answerAppend(request.from, false, Math.max(hint, this.#commitIndex), request.sentAt)
      return
    }
    for (const entry of request.entries) this.#takeEntry(entry)
    const matchIndex = Math.max(request.previousIndex + request.entries.length, this.#log.snapshotIndex)
    this.#commitTo(Math.min(request.commitIndex, matchIndex))
    this.#answerAppend(request.from, true, matchIndex, request.sentAt)
  }

  #matchesLog (request: AppendRequest): boolean {
    if (request.previousIndex < this.#log.snapshotIndex) return true
    return this.#log.termAt(request.previousIndex) === request.previousTerm
  }

  #takeEntry (entry: LogEntry): void {
    if (entry.index <= this.#log.snapshotIndex) return
    const presentTerm = this.#log.termAt(entry.index)
    if (presentTerm === entry.term) return
    if (presentTerm !== undefined) {
      assertInvariant(entry.index > this.#commitIndex, 'committed-kept', () => `overwrite of ${entry.index}`)
      this.#log.truncate(entry.index)
      this.#effects.writes.push({ kind: 'truncate', fromIndex: entry.index })
    }
    this.#append(entry)
  }

  #onSnapshotRequest (request: SnapshotRequest, now: number): void {
    if (request.term < this.#term) return
    this.#followLeader(request.from, now)
    const { snapshot } = request
    if (snapshot.index > this.#commitIndex) {
      this.#log.compact(snapshot)
      this.#formation.observeSnapshot(snapshot)
      this.#commitIndex = snapshot.index
      this.#effects.writes.push({ kind: 'snapshot', snapshot })
      this.#effects.installed = snapshot
      this.#effects.committed.length = 0
    }
    this.#answerAppend(request.from, true, snapshot.index, request.sentAt)
  }

  #followLeader (leader: string, now: number): void {
    assertInvariant(this.#role !== 'leader', 'one-leader-a-term', () => `term ${this.#term} has a second leader ${leader}`)
    this.#lastLeaderContact = now
    this.#becomeFollower(leader, now)
  }

  #answerAppend (to: string, success: boolean, matchIndex: number, sentAt: number): void {
    this.#sendTo(to, { kind: 'append-response', from: this.self.id, term: this.#term, success, matchIndex, sentAt })
  }

  // --- Helpers ---

  #commitTo (index: number): void {
    while (this.#commitIndex < index) {
      const entry = this.#log.entryAt(this.#commitIndex + 1)
      assertInvariant(entry !== undefined, 'committed-present', () => `entry ${this.#commitIndex + 1} is missing`)
      this.#commitIndex += 1
      this.#formation.observe(entry)
      this.#effects.committed.push(entry)
    }
  }

  #append (entry: LogEntry): void {
    this.#log.append(entry)
    this.#effects.writes.push({ kind: 'append', entry })
  }

  #setVote (term: number, votedFor: string | undefined): void {
    this.#term = term
    this.#votedFor = votedFor
    this.#effects.writes.push({ kind: 'vote', term, votedFor })
  }

  #quorumContact (now: number): number {
    return this.#progress.quorumContact(this.membership.voters, this.self.id, now)
  }

  /** A new leader gets one election timeout of grace before silence counts against it. */
  #lostQuorum (now: number): boolean {
    return now >= Math.max(this.#quorumContact(now), this.#leaderSince) + this.settings.electionTimeoutMs
  }

  #hasQuorum (ids: ReadonlySet<string>): boolean {
    const { voters } = this.membership
    return voters.filter(voter => ids.has(voter.id)).length > voters.length / 2
  }

  #isVoter (id: string): boolean {
    return this.membership.voters.some(voter => voter.id === id)
  }

  #replicas (): Replica[] {
    const { voters, learners } = this.membership
    return [...voters, ...learners]
  }

  #notLeader (): RaftError {
    return { kind: 'not-leader', leader: this.leader }
  }

  #electionDelay (): number {
    return this.settings.electionTimeoutMs * (1 + this.random())
  }

  #send (to: Replica, message: RaftMessage): void {
    this.#effects.messages.push({ to, message })
  }

  #sendTo (id: string, message: RaftMessage): void {
    // A new replica may not know the asker yet; the transport then answers over the asker's connection.
    const replica = this.#replicas().find(candidate => candidate.id === id) ?? { id, address: '' }
    this.#send(replica, message)
  }

  #takeEffects (): RaftEffects {
    const effects = this.#effects
    this.#effects = emptyEffects()
    return effects
  }
}

/** @returns effects that ask for nothing */
export function emptyEffects (): RaftEffects {
  return { writes: [], messages: [], committed: [], installed: undefined }
}
