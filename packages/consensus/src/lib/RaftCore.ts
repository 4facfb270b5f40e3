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
import { Elections } from './Elections.js'
import { FollowerReplication } from './FollowerReplication.js'
import type { FormationState } from './Formation.js'
import { LeaderReplication } from './LeaderReplication.js'
import { MembershipChanges } from './MembershipChanges.js'
import type { RaftError } from './RaftError.js'
import type { RaftSettings } from './RaftSettings.js'
import { RaftState, type RaftRole } from './RaftState.js'
import type { LogEntry, Membership, PersistentState, RaftEffects, RaftMessage, Replica, Snapshot } from './messages/raftMessages.js'

/** One replica's view of the agreed log. */
export class RaftCore {
  readonly #state: RaftState
  readonly #replication: LeaderReplication
  readonly #following: FollowerReplication
  readonly #elections: Elections
  readonly #membership: MembershipChanges

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
    random: () => number,
    startedAt: number
  ) {
    this.#state = new RaftState(self, persisted, settings, random, startedAt)
    this.#replication = new LeaderReplication(this.#state)
    this.#following = new FollowerReplication(this.#state)
    this.#elections = new Elections(this.#state, this.#replication)
    this.#membership = new MembershipChanges(this.#state, this.#replication)
  }

  // --- Views ---

  get term (): number { return this.#state.term }
  get role (): RaftRole { return this.#state.role }
  get commitIndex (): number { return this.#state.commitIndex }
  get lastIndex (): number { return this.#state.log.lastIndex }
  get logLength (): number { return this.#state.log.length }
  get logBytes (): number { return this.#state.log.commandBytes }
  get snapshot (): Snapshot | undefined { return this.#state.log.snapshot }
  get membership (): Membership { return this.#state.log.latestMembership() }
  /** Membership that no crash can take back; a repair is complete only when it is here. */
  get committedMembership (): Membership { return this.#state.log.membershipAt(this.#state.commitIndex) }
  /** Whether the latest membership is not committed yet. */
  get isMembershipPending (): boolean { return this.#state.isMembershipPending }
  /** What this replica has committed of the forming of its group. */
  get formation (): FormationState { return this.#state.formation.state }

  /** The leader this replica knows of. */
  get leader (): Replica | undefined {
    return this.#state.replicas.find(replica => replica.id === this.#state.leader)
  }

  /**
   * @param index - absolute index
   * @returns the entry held at that index
   */
  entryAt (index: number): LogEntry | undefined { return this.#state.log.entryAt(index) }

  /**
   * Whether this replica leads and a quorum confirmed it recently enough that no other can.
   *
   * @param now - monotonic milliseconds
   */
  holdsLease (now: number): boolean {
    if (!this.#mayAct()) return false
    return now < this.#replication.quorumContact(now) + this.settings.leaseMs
  }

  /**
   * Whether the leader may answer reads from its applied state.
   *
   * @param now - monotonic milliseconds
   */
  canRead (now: number): boolean {
    return this.holdsLease(now) && this.#replication.hasCommittedInTerm
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
    if (this.role !== 'leader' || !this.#replication.hasCommittedInTerm) return false
    return this.membership.voters.length === 1 || this.#replication.quorumContact(now) > readAt
  }

  /**
   * How long a peer has been silent towards this leader.
   *
   * @param id - voter or learner
   * @param now - monotonic milliseconds
   * @returns milliseconds; counted from the leader's first message to the peer if it was never heard
   */
  silenceMs (id: string, now: number): number { return this.#replication.silentFor(id, now) }

  // --- Inputs ---

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
   * Takes a message from another replica.
   *
   * @param message - a parsed message
   * @param now - monotonic milliseconds
   * @returns effects to carry out
   */
  receive (message: RaftMessage, now: number): RaftEffects {
    if (this.#elections.mustIgnore(message, now)) return this.#state.takeEffects()
    const isPreVote = (message.kind === 'vote-request' || message.kind === 'vote-response') && message.preVote
    if (message.term > this.term && !isPreVote) this.#state.adoptTerm(message.term, now)
    switch (message.kind) {
      case 'vote-request': this.#elections.onVoteRequest(message, now); break
      case 'vote-response': this.#elections.onVoteResponse(message, now); break
      case 'append-request': this.#following.onAppendRequest(message, now); break
      case 'append-response': this.#replication.onAppendResponse(message, now); break
      case 'snapshot-request': this.#following.onSnapshotRequest(message, now); break
      case 'timeout-now':
        if (message.term === this.term && this.#state.isVoter(this.self.id)) this.#elections.standForTransfer(now)
        break
      default: unreachable(message)
    }
    return this.#state.takeEffects()
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
    if (!this.#mayAct()) return fail(this.#state.notLeader())
    const { formation } = this.#state
    if (!formation.isFormed) return fail({ kind: 'forming', state: formation.state })
    const entry: LogEntry = { kind: 'command', index: this.lastIndex + 1, term: this.term, command }
    this.#replication.appendOwn(entry, now)
    return succeed({ index: entry.index, term: entry.term, effects: this.#state.takeEffects() })
  }

  /**
   * Asks all peers for a sign of life at once, to confirm a read.
   *
   * @param now - monotonic milliseconds
   * @returns effects to carry out
   */
  probeQuorum (now: number): RaftEffects {
    if (this.role === 'leader') this.#replication.broadcast(now)
    return this.#state.takeEffects()
  }

  /**
   * Adds a learner, or replaces its address.
   *
   * @param replica - new replica; it receives the log and does not vote
   * @param now - monotonic milliseconds
   */
  addLearner (replica: Replica, now: number): Result<RaftEffects, RaftError> { return this.#membership.addLearner(replica, now) }

  /**
   * Makes a learner a voter once it has nearly all of the log.
   *
   * @param id - learner's id
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
   * Hands leadership to the voter that has most of the log, for a planned stop.
   *
   * @param now - monotonic milliseconds
   * @returns effects; leadership ends when the target's election wins or the transfer times out
   */
  transferLeadership (now: number): RaftEffects {
    if (this.#mayAct()) this.#replication.transfer(now)
    return this.#state.takeEffects()
  }

  /**
   * Compacts the log up to a snapshot of applied state; not before the group is formed, since a snapshot stands for that.
   *
   * @param index - last applied index
   * @param state - encoded state machine
   * @returns effects
   */
  compact (index: number, state: Uint8Array): RaftEffects {
    assertInvariant(index <= this.commitIndex, 'snapshot-committed', () => `${index} above ${this.commitIndex}`)
    const { log, formation } = this.#state
    const term = log.termAt(index)
    if (formation.isFormed && term !== undefined && index > log.snapshotIndex) {
      this.#state.compact({ index, term, membership: log.membershipAt(index), state })
    }
    return this.#state.takeEffects()
  }

  /**
   * Starts a new group of one voter on an empty disk.
   *
   * @param now - monotonic milliseconds
   */
  bootstrap (now: number): RaftEffects {
    assertInvariant(this.lastIndex === 0 && this.term === 0, 'bootstrap-empty', () => 'the disk is not empty')
    this.#state.setVote(1, undefined)
    this.#state.append({ kind: 'membership', index: 1, term: 1, membership: { voters: [this.self], learners: [] } })
    this.#state.electionDeadline = now
    return this.#state.takeEffects()
  }

  /** Leads, and is not handing over. */
  #mayAct (): boolean {
    return this.role === 'leader' && this.#state.transferTarget === undefined
  }
}
