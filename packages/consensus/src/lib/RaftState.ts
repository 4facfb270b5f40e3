/** What the core and its managers share: term, role, log, commits, and the effects of the step under way. */
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import { emptyEffects } from './emptyEffects.js'
import { Formation } from './Formation.js'
import type { RaftError } from './RaftError.js'
import { RaftLog } from './RaftLog.js'
import type { RaftSettings } from './RaftSettings.js'
import type { LogEntry, PersistentState, RaftEffects, RaftMessage, Replica, Snapshot } from './messages/raftMessages.js'

export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader'

/** State of one replica. Whatever must be durable is written here, so that each change leaves its write in the effects. */
export class RaftState {
  role: RaftRole = 'follower'
  leader: string | undefined
  electionDeadline: number
  lastLeaderContact: number
  /** Voter that leadership is being handed to; until that ends the leader takes nothing. */
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
    this.log = new RaftLog(persisted)
    this.formation = new Formation(settings.minimumVoters, persisted.snapshot)
    this.#commitIndex = this.log.snapshotIndex
    // A restarted replica may have promised a leader its silence: it waits before it votes.
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

  /** Whether the latest membership is not committed yet. */
  get isMembershipPending (): boolean {
    for (let index = this.#commitIndex + 1; index <= this.log.lastIndex; index += 1) {
      if (this.log.entryAt(index)?.kind === 'membership') return true
    }
    return false
  }

  /**
   * @param id - replica
   * @returns whether it votes in the latest membership
   */
  isVoter (id: string): boolean {
    return this.log.latestMembership().voters.some(voter => voter.id === id)
  }

  /** @returns the refusal that names the leader */
  notLeader (): RaftError {
    return { kind: 'not-leader', leader: this.replicas.find(replica => replica.id === this.leader) }
  }

  /** @returns milliseconds without a leader before this replica stands for election */
  electionDelay (): number {
    return this.settings.electionTimeoutMs * (1 + this.random())
  }

  /**
   * @param term - present term from now on
   * @param votedFor - this replica's vote in it
   */
  setVote (term: number, votedFor: string | undefined): void {
    this.#term = term
    this.#votedFor = votedFor
    this.#effects.writes.push({ kind: 'vote', term, votedFor })
  }

  /**
   * @param term - a higher one
   * @param now - monotonic milliseconds
   */
  adoptTerm (term: number, now: number): void {
    this.setVote(term, undefined)
    this.becomeFollower(undefined, now)
  }

  /**
   * @param leader - whom to follow, if known
   * @param now - monotonic milliseconds
   */
  becomeFollower (leader: string | undefined, now: number): void {
    this.role = 'follower'
    this.leader = leader
    this.transferTarget = undefined
    this.electionDeadline = now + this.electionDelay()
  }

  /** @param entry - must directly follow the last one */
  append (entry: LogEntry): void {
    this.log.append(entry)
    this.#effects.writes.push({ kind: 'append', entry })
  }

  /** @param fromIndex - this entry and all after it are dropped; they were never committed */
  truncate (fromIndex: number): void {
    assertInvariant(fromIndex > this.#commitIndex, 'committed-kept', () => `overwrite of ${fromIndex}`)
    this.log.truncate(fromIndex)
    this.#effects.writes.push({ kind: 'truncate', fromIndex })
  }

  /** @param index - all entries up to this one are committed */
  commitTo (index: number): void {
    while (this.#commitIndex < index) {
      const entry = this.log.entryAt(this.#commitIndex + 1)
      assertInvariant(entry !== undefined, 'committed-present', () => `entry ${this.#commitIndex + 1} is missing`)
      this.#commitIndex += 1
      this.formation.observe(entry)
      this.#effects.committed.push(entry)
    }
  }

  /** @param snapshot - of own committed state; replaces the entries that it covers */
  compact (snapshot: Snapshot): void {
    this.log.compact(snapshot)
    this.#effects.writes.push({ kind: 'snapshot', snapshot })
  }

  /** @param snapshot - of the leader's state, newer than what is committed here */
  install (snapshot: Snapshot): void {
    this.compact(snapshot)
    this.formation.observeSnapshot(snapshot)
    this.#commitIndex = snapshot.index
    this.#effects.installed = snapshot
    this.#effects.committed.length = 0
  }

  /**
   * @param to - receiver
   * @param message - what it is sent once the writes are synced
   */
  send (to: Replica, message: RaftMessage): void {
    this.#effects.messages.push({ to, message })
  }

  /**
   * @param id - receiver, who may not be a member here
   * @param message - what it is sent
   */
  sendTo (id: string, message: RaftMessage): void {
    // A new replica may not know the asker yet; the transport then answers over the asker's connection.
    const replica = this.replicas.find(candidate => candidate.id === id) ?? { id, address: '' }
    this.send(replica, message)
  }

  /** @returns the effects of the step under way, which ends with this */
  takeEffects (): RaftEffects {
    const effects = this.#effects
    this.#effects = emptyEffects()
    return effects
  }
}
