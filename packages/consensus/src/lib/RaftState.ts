/** State shared by the parts of the Raft core: term, role, log, commit index, and the effects of the current step. */
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import { emptyEffects } from './emptyEffects.js'
import { Formation } from './Formation.js'
import type { RaftError } from './RaftError.js'
import { RaftLog } from './RaftLog.js'
import type { RaftSettings } from './RaftSettings.js'
import type { LogEntry, PersistentState, RaftEffects, RaftMessage, Replica, Snapshot } from './messages/raftMessages.js'

export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader'

/** State of one replica. All durable state is changed through this class, so that each change adds its write to the effects. */
export class RaftState {
  role: RaftRole = 'follower'
  leader: string | undefined
  electionDeadline: number
  lastLeaderContact: number
  /** Voter that leadership is being transferred to; the leader accepts no commands until the transfer ends. */
  transferTarget: string | undefined
  readonly log: RaftLog
  readonly formation: Formation
  #term: number
  #votedFor: string | undefined
  #commitIndex: number
  #effects: RaftEffects = emptyEffects()

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
    private readonly random: () => number,
    startedAt: number
  ) {
    this.#term = persisted.term
    this.#votedFor = persisted.votedFor
    this.log = new RaftLog(persisted)
    this.formation = new Formation(settings.minimumVoters, persisted.snapshot)
    this.#commitIndex = this.log.snapshotIndex
    // Before the restart this replica may have acknowledged a leader that still holds a lease, so it must not vote at once.
    this.lastLeaderContact = startedAt
    this.electionDeadline = startedAt + this.electionDelay()
  }

  get term (): number { return this.#term }
  get votedFor (): string | undefined { return this.#votedFor }
  get commitIndex (): number { return this.#commitIndex }

  /** Voters and learners of the latest membership. */
  get replicas (): Replica[] {
    const { voters, learners } = this.log.latestMembership()
    return [...voters, ...learners]
  }

  /** Whether the log holds a membership change that is not committed yet. */
  get isMembershipPending (): boolean {
    for (let index = this.#commitIndex + 1; index <= this.log.lastIndex; index += 1) {
      if (this.log.entryAt(index)?.kind === 'membership') return true
    }
    return false
  }

  /**
   * @param id - replica id
   * @returns whether the replica is a voter in the latest membership
   */
  isVoter (id: string): boolean {
    return this.log.latestMembership().voters.some(voter => voter.id === id)
  }

  /** @returns the `not-leader` error with the leader that this replica knows */
  notLeader (): RaftError {
    return { kind: 'not-leader', leader: this.replicas.find(replica => replica.id === this.leader) }
  }

  /** @returns randomized election timeout in milliseconds */
  electionDelay (): number {
    return this.settings.electionTimeoutMs * (1 + this.random())
  }

  /**
   * @param term - new current term
   * @param votedFor - candidate that this replica votes for in that term
   */
  setVote (term: number, votedFor: string | undefined): void {
    this.#term = term
    this.#votedFor = votedFor
    this.#effects.writes.push({ kind: 'vote', term, votedFor })
  }

  /**
   * @param term - newer term seen in a message
   * @param now - monotonic milliseconds
   */
  adoptTerm (term: number, now: number): void {
    this.setVote(term, undefined)
    this.becomeFollower(undefined, now)
  }

  /**
   * @param leader - id of the current leader, if known
   * @param now - monotonic milliseconds
   */
  becomeFollower (leader: string | undefined, now: number): void {
    this.role = 'follower'
    this.leader = leader
    this.transferTarget = undefined
    this.electionDeadline = now + this.electionDelay()
  }

  /** @param entry - must directly follow the last entry */
  append (entry: LogEntry): void {
    this.log.append(entry)
    this.#effects.writes.push({ kind: 'append', entry })
  }

  /** @param fromIndex - first entry to remove, together with all later ones; none of them may be committed */
  truncate (fromIndex: number): void {
    assertInvariant(fromIndex > this.#commitIndex, 'committed-kept', () => `attempt to truncate the log at committed index ${fromIndex}`)
    this.log.truncate(fromIndex)
    this.#effects.writes.push({ kind: 'truncate', fromIndex })
  }

  /** @param index - highest committed index */
  commitTo (index: number): void {
    while (this.#commitIndex < index) {
      const entry = this.log.entryAt(this.#commitIndex + 1)
      assertInvariant(entry !== undefined, 'committed-present', () => `committed entry ${this.#commitIndex + 1} is missing from the log`)
      this.#commitIndex += 1
      this.formation.observe(entry)
      this.#effects.committed.push(entry)
    }
  }

  /** @param snapshot - snapshot of committed state; replaces the entries that it covers */
  compact (snapshot: Snapshot): void {
    this.log.compact(snapshot)
    this.#effects.writes.push({ kind: 'snapshot', snapshot })
  }

  /** @param snapshot - snapshot from the leader, newer than this replica's commit index */
  install (snapshot: Snapshot): void {
    this.compact(snapshot)
    this.formation.observeSnapshot(snapshot)
    this.#commitIndex = snapshot.index
    this.#effects.installed = snapshot
    this.#effects.committed.length = 0
  }

  /**
   * @param to - receiver
   * @param message - message to send once the writes are synced
   */
  send (to: Replica, message: RaftMessage): void {
    this.#effects.messages.push({ to, message })
  }

  /**
   * @param id - receiver, which may be missing from the latest membership
   * @param message - message to send once the writes are synced
   */
  sendTo (id: string, message: RaftMessage): void {
    // A new replica may not know the sender yet; with an empty address the transport responds over the sender's connection.
    const replica = this.replicas.find(candidate => candidate.id === id) ?? { id, address: '' }
    this.send(replica, message)
  }

  /** @returns the effects collected since the last call */
  takeEffects (): RaftEffects {
    const effects = this.#effects
    this.#effects = emptyEffects()
    return effects
  }
}
