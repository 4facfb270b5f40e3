/** Membership changes on the leader: one at a time, each affecting a single replica. */
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { LeaderReplication } from './LeaderReplication.js'
import type { RaftError } from './RaftError.js'
import type { RaftState } from './RaftState.js'
import type { Membership, RaftEffects, Replica } from './messages/raftMessages.js'

/** Heartbeats of a new leader that a replica leaves unanswered before it counts as gone. */
const UNANSWERED_HEARTBEATS = 2

/** Validates membership changes and appends them in the same step. */
export class MembershipChanges {
  /**
   * @param state - shared state of the replica
   * @param replication - appends the membership entries
   */
  constructor (private readonly state: RaftState, private readonly replication: LeaderReplication) {}

  /**
   * Adds a learner, or changes the address of an existing one. If a voter has the same address, its disk was lost, and it is
   * removed with the same entry; its successor can then be promoted at once.
   *
   * Both may not be one step: a majority that counts the vote which the lost replica gave last, and one that counts its
   * successor, might have no other replica in common.
   *
   * @param replica - new replica, which receives the log
   * @param now - monotonic milliseconds
   */
  addLearner (replica: Replica, now: number): Result<RaftEffects, RaftError> {
    // The membership known to a follower may be outdated, so only the leader responds with anything but `not-leader`.
    if (this.state.role !== 'leader') return fail(this.state.notLeader())
    const { voters, learners } = this.state.log.latestMembership()
    if (voters.some(voter => voter.id === replica.id)) return succeed(this.state.takeEffects())
    if (learners.some(learner => learner.id === replica.id && learner.address === replica.address)) return succeed(this.state.takeEffects())
    const others = learners.filter(learner => learner.id !== replica.id && learner.address !== replica.address)
    const former = voters.find(voter => voter.address === replica.address)
    if (former === undefined) return this.#appendChange({ voters, learners: [...others, replica] }, now)
    if (this.#isAnswering(former, now)) return fail({ kind: 'address-in-use', id: former.id })
    return this.#appendChange({ voters: voters.filter(voter => voter.id !== former.id), learners: [...others, replica] }, now)
  }

  /**
   * Promotes a learner to voter if its log is nearly complete, or at once if the group has fewer voters than it needs: a voter
   * with an empty log acknowledges nothing that it lacks, but its vote makes a majority of the replicas that are left. If the group has all the voters that it needs, all of them have to
   * answer: with a silent one and its successor the group would need a larger majority and have no more replicas to form it. A
   * voter that stays silent is removed first, and the learner is promoted by a later request.
   *
   * @param id - id of the learner
   * @param now - monotonic milliseconds
   */
  promote (id: string, now: number): Result<RaftEffects, RaftError> {
    const { state } = this
    if (state.role !== 'leader') return fail(state.notLeader())
    const { voters, learners } = state.log.latestMembership()
    if (voters.some(voter => voter.id === id)) return succeed(state.takeEffects())
    const learner = learners.find(candidate => candidate.id === id)
    if (learner === undefined) return fail({ kind: 'unknown-replica', id })
    const lag = state.log.lastIndex - this.replication.matchIndex(id)
    const lacksVoters = voters.length < state.settings.minimumVoters && state.formation.isFormed
    if (lag > state.settings.promotionLag && !lacksVoters) return fail({ kind: 'learner-lags', lag })
    const unheard = this.#findUnheardVoter(voters, now)
    if (unheard !== undefined && this.#isAnswering(unheard, now)) return fail({ kind: 'voter-unheard', id: unheard.id })
    if (unheard !== undefined) return this.#appendChange({ voters: voters.filter(voter => voter.id !== unheard.id), learners }, now)
    const rest = learners.filter(candidate => candidate.id !== id)
    return this.#appendChange({ voters: [...voters, learner], learners: rest }, now)
  }

  /**
   * Removes a replica from the group. Returns `unknown-replica` only on the basis of a committed membership.
   *
   * @param id - voter or learner
   * @param now - monotonic milliseconds
   */
  remove (id: string, now: number): Result<RaftEffects, RaftError> {
    const { state } = this
    if (state.role !== 'leader') return fail(state.notLeader())
    if (id === state.self.id) return fail({ kind: 'is-leader', id })
    if (this.#isChangeInProgress()) return fail({ kind: 'change-in-progress' })
    const { voters, learners } = state.log.latestMembership()
    if (!state.replicas.some(replica => replica.id === id)) return fail({ kind: 'unknown-replica', id })
    const without = (replicas: Replica[]): Replica[] => replicas.filter(replica => replica.id !== id)
    return this.#appendChange({ voters: without(voters), learners: without(learners) }, now)
  }

  /** Returns the voter that has not answered for the longest time, if the group has enough voters without it and the size of the group is configured. */
  #findUnheardVoter (voters: readonly Replica[], now: number): Replica | undefined {
    const { settings: { minimumVoters, electionTimeoutMs }, self } = this.state
    if (minimumVoters === 1 || voters.length < minimumVoters) return undefined
    // A new leader has heard nobody yet, so it can't tell a voter that is gone from one that answers.
    const contacts = voters.filter(voter => voter.id !== self.id).map(voter => ({ voter, contactAt: this.replication.lastContactAt(voter.id) }))
    const [longest] = contacts.sort((left, right) => left.contactAt - right.contactAt)
    return longest !== undefined && longest.contactAt < now - electionTimeoutMs ? longest.voter : undefined
  }

  /** Whether a replica answers, or may do so shortly because the leader is new. One that answers has kept its disk, so another one at its address is a mistake in the settings. */
  #isAnswering ({ id }: Replica, now: number): boolean {
    const { electionTimeoutMs, heartbeatMs } = this.state.settings
    const hasAnswered = this.replication.lastContactAt(id) !== Number.NEGATIVE_INFINITY
    // A replica that is up answers a new leader's first heartbeats.
    return this.replication.silenceMs(id, now) < (hasAnswered ? electionTimeoutMs : UNANSWERED_HEARTBEATS * heartbeatMs)
  }

  #appendChange (membership: Membership, now: number): Result<RaftEffects, RaftError> {
    const { state } = this
    if (this.#isChangeInProgress()) return fail({ kind: 'change-in-progress' })
    this.replication.appendOwn({ kind: 'membership', index: state.log.lastIndex + 1, term: state.term, membership }, now)
    return succeed(state.takeEffects())
  }

  #isChangeInProgress (): boolean {
    return !this.replication.hasCommittedInTerm || this.state.isMembershipPending
  }
}
