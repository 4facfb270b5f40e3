/**
 * Raft consensus on one log by a quorum of control hosts.
 *
 * The core does no input or output: each method takes the current time and
 * returns effects. The caller must sync `writes` before it carries out the
 * other effects of the same call. This rule ensures that no vote, append or
 * commit is acknowledged before it is durable.
 */
import { assertInvariant, unreachable } from '@eelgrassmux/schema/invariant'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { Elections } from './Elections.js'
import { FollowerReplication } from './FollowerReplication.js'
import type { FormationState } from './Formation.js'
import { LeaderReplication } from './LeaderReplication.js'
import { MembershipChanges } from './MembershipChanges.js'
import type { PeerReport } from './PeerProgressTable.js'
import type { RaftError } from './RaftError.js'
import type { RaftSettings } from './RaftSettings.js'
import { RaftState, type RaftRole } from './RaftState.js'
import type { DeliveryReport, LogEntry, Membership, PersistentState, RaftEffects, RaftMessage, Replica, Snapshot } from './messages/raftMessages.js'

/** Raft state machine of one replica. */
export class RaftCore {
  readonly #state: RaftState
  readonly #replication: LeaderReplication
  readonly #follower: FollowerReplication
  readonly #elections: Elections
  readonly #membership: MembershipChanges

  /**
   * @param self - id and address of this replica
   * @param persisted - state read from the disk
   * @param settings - timing and limits
   * @param random - source of numbers in [0, 1)
   * @param startedAt - start of the process, in monotonic milliseconds; an earlier process of this replica sent its messages before this time
   */
  constructor (
    readonly self: Replica,
    persisted: PersistentState,
    readonly settings: RaftSettings,
    random: () => number,
    startedAt: number
  ) {
    this.#state = new RaftState(self, persisted, settings, random, startedAt)
    this.#replication = new LeaderReplication(this.#state)
    this.#follower = new FollowerReplication(this.#state)
    this.#elections = new Elections(this.#state, this.#replication)
    this.#membership = new MembershipChanges(this.#state, this.#replication)
  }

  // --- Queries ---

  get term (): number { return this.#state.term }
  get role (): RaftRole { return this.#state.role }
  get commitIndex (): number { return this.#state.commitIndex }
  get lastIndex (): number { return this.#state.log.lastIndex }
  get logLength (): number { return this.#state.log.length }
  get logBytes (): number { return this.#state.log.commandBytes }
  get snapshot (): Snapshot | undefined { return this.#state.log.snapshot }
  get membership (): Membership { return this.#state.log.latestMembership() }
  /** Latest committed membership, which no crash can revert. A replica has been replaced only once this membership shows it. */
  get committedMembership (): Membership { return this.#state.log.membershipAt(this.#state.commitIndex) }
  /** Whether the log holds a membership change that is not committed yet. */
  get isMembershipPending (): boolean { return this.#state.isMembershipPending }
  /** Progress of the initial group formation, according to the entries that this replica has committed. */
  get formation (): FormationState { return this.#state.formation.state }

  /** Replication to each peer, on the leader; empty on other replicas. */
  get peerReports (): PeerReport[] { return this.role === 'leader' ? this.#replication.peerReports : [] }
  /** Voters that have not responded to this replica since it last started an election. */
  get silentVoters (): Replica[] { return this.#elections.silentVoters }

  /** Current leader, if this replica knows it. */
  get leader (): Replica | undefined {
    return this.#state.replicas.find(replica => replica.id === this.#state.leader)
  }

  /**
   * @param index - absolute index
   * @returns the entry at that index, or undefined if it was compacted or does not exist
   */
  entryAt (index: number): LogEntry | undefined { return this.#state.log.entryAt(index) }

  /**
   * Whether this replica is the leader and a quorum confirmed it so recently that no other replica can be leader.
   *
   * @param now - monotonic milliseconds
   */
  holdsLease (now: number): boolean {
    if (!this.#isActiveLeader()) return false
    return now < this.#replication.quorumContactAt(now) + this.settings.leaseMs
  }

  /**
   * Whether this replica is a leader that may serve reads from its applied state.
   *
   * @param now - monotonic milliseconds
   */
  canRead (now: number): boolean {
    return this.holdsLease(now) && this.#replication.hasCommittedInTerm
  }

  /**
   * Whether a quorum followed this leader at some time after the read began, so
   * that no other leader can have committed anything newer before the read.
   * Unlike a lease, this remains valid if the host was suspended in the meantime.
   *
   * @param readAt - monotonic milliseconds at which the read began
   * @param now - monotonic milliseconds
   */
  isReadConfirmed (readAt: number, now: number): boolean {
    if (this.role !== 'leader' || !this.#replication.hasCommittedInTerm) return false
    return this.membership.voters.length === 1 || this.#replication.quorumContactAt(now) > readAt
  }

  /**
   * Time since this leader last heard from a peer.
   *
   * @param id - voter or learner
   * @param now - monotonic milliseconds
   * @returns milliseconds; counted from the leader's first message to the peer if the peer never responded
   */
  silenceMs (id: string, now: number): number { return this.#replication.silenceMs(id, now) }

  // --- Inputs ---

  /**
   * Handles the outcome of the transport of a message. Without it, the loss of a message is noticed only after the delivery timeout.
   *
   * @param report - whether a message with entries or a snapshot reached its receiver
   */
  reportDelivery (report: DeliveryReport): void { this.#replication.onDelivery(report) }

  /**
   * Advances timers.
   *
   * @param now - monotonic milliseconds
   * @returns effects to carry out
   */
  tick (now: number): RaftEffects {
    if (this.role === 'leader') this.#replication.tick(now)
    else this.#elections.tick(now)
    return this.#state.takeEffects()
  }

  /**
   * Handles a message from another replica.
   *
   * @param message - a parsed message
   * @param now - monotonic milliseconds
   * @returns effects to carry out
   */
  receive (message: RaftMessage, now: number): RaftEffects {
    if (this.#elections.shouldIgnore(message, now)) return this.#state.takeEffects()
    const isPreVote = (message.kind === 'vote-request' || message.kind === 'vote-response') && message.preVote
    if (message.term > this.term && !isPreVote) this.#state.adoptTerm(message.term, now)
    switch (message.kind) {
      case 'vote-request': this.#elections.onVoteRequest(message, now); break
      case 'vote-response': this.#elections.onVoteResponse(message, now); break
      case 'append-request': this.#follower.onAppendRequest(message, now); break
      case 'append-response': this.#replication.onAppendResponse(message, now); break
      case 'snapshot-request': this.#follower.onSnapshotRequest(message, now); break
      case 'timeout-now':
        if (message.term === this.term && this.#state.isVoter(this.self.id)) this.#elections.startTransferElection(now)
        break
      default: unreachable(message)
    }
    return this.#state.takeEffects()
  }

  /**
   * Appends a command if this replica is the leader of a formed group. Check and
   * append are one step, so that neither role nor membership can change between them.
   *
   * @param command - encoded command
   * @param now - monotonic milliseconds
   * @returns index and term of the appended entry, and effects to carry out
   */
  propose (command: Uint8Array, now: number): Result<{ index: number, term: number, effects: RaftEffects }, RaftError> {
    if (!this.#isActiveLeader()) return fail(this.#state.notLeader())
    const { formation } = this.#state
    if (!formation.isFormed) return fail({ kind: 'forming', state: formation.state })
    const entry: LogEntry = { kind: 'command', index: this.lastIndex + 1, term: this.term, command }
    this.#replication.appendOwn(entry, now)
    return succeed({ index: entry.index, term: entry.term, effects: this.#state.takeEffects() })
  }

  /**
   * Sends a heartbeat to all peers at once, to confirm a read.
   *
   * @param now - monotonic milliseconds
   * @returns effects to carry out
   */
  probeQuorum (now: number): RaftEffects {
    if (this.role === 'leader') this.#replication.broadcast(now)
    return this.#state.takeEffects()
  }

  /**
   * Adds a learner, or changes the address of an existing one. Removes a voter with the same address, whose disk was lost.
   *
   * @param replica - new replica, which receives the log
   * @param now - monotonic milliseconds
   */
  addLearner (replica: Replica, now: number): Result<RaftEffects, RaftError> { return this.#membership.addLearner(replica, now) }

  /**
   * Promotes a learner to voter if its log is nearly complete.
   *
   * @param id - id of the learner
   * @param now - monotonic milliseconds
   */
  promote (id: string, now: number): Result<RaftEffects, RaftError> { return this.#membership.promote(id, now) }

  /**
   * Removes a replica from the group.
   *
   * @param id - voter or learner
   * @param now - monotonic milliseconds
   */
  remove (id: string, now: number): Result<RaftEffects, RaftError> { return this.#membership.remove(id, now) }

  /**
   * Transfers leadership to the voter with the most complete log, before a planned stop.
   *
   * @param now - monotonic milliseconds
   * @returns effects to carry out; if the target does not win its election before the transfer times out, this replica resumes as leader
   */
  transferLeadership (now: number): RaftEffects {
    if (this.#isActiveLeader()) this.#replication.transfer(now)
    return this.#state.takeEffects()
  }

  /**
   * Replaces the log up to an index by a snapshot of applied state. Does nothing before the group is formed, since replicas take a snapshot as proof that it is.
   *
   * @param index - last applied index
   * @param state - encoded state machine
   * @returns effects to carry out
   */
  compact (index: number, state: Uint8Array): RaftEffects {
    assertInvariant(index <= this.commitIndex, 'snapshot-committed', () => `snapshot index ${index} is above the commit index ${this.commitIndex}`)
    const { log, formation } = this.#state
    const term = log.termAt(index)
    if (formation.isFormed && term !== undefined && index > log.snapshotIndex) {
      this.#state.compact({ index, term, membership: log.membershipAt(index), state })
    }
    return this.#state.takeEffects()
  }

  /**
   * Creates a new group on an empty disk, with this replica as its only voter.
   *
   * @param now - monotonic milliseconds
   */
  bootstrap (now: number): RaftEffects {
    assertInvariant(this.lastIndex === 0 && this.term === 0, 'bootstrap-empty', () => 'cannot bootstrap a replica that already has a log or a term')
    this.#state.setVote(1, undefined)
    this.#state.append({ kind: 'membership', index: 1, term: 1, membership: { voters: [this.self], learners: [] } })
    this.#state.electionDeadline = now
    return this.#state.takeEffects()
  }

  /** Whether this replica is the leader and no leadership transfer is in progress. */
  #isActiveLeader (): boolean {
    return this.role === 'leader' && this.#state.transferTarget === undefined
  }
}
