/** Membership changes on the leader: one at a time, each affecting a single replica. */
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import type { LeaderReplication } from './LeaderReplication.js'
import type { RaftError } from './RaftError.js'
import type { RaftState } from './RaftState.js'
import type { Membership, RaftEffects, Replica } from './messages/raftMessages.js'

/** Validates membership changes and appends them in the same step. */
export class MembershipChanges {
  /**
   * @param state - shared state of the replica
   * @param replication - appends the membership entries
   */
  constructor (private readonly state: RaftState, private readonly replication: LeaderReplication) {}

  /**
   * Adds a learner, or changes the address of an existing one.
   *
   * @param replica - new replica, which receives the log and does not vote
   * @param now - monotonic milliseconds
   */
  addLearner (replica: Replica, now: number): Result<RaftEffects, RaftError> {
    // The membership known to a follower may be outdated, so only the leader responds with anything but `not-leader`.
    if (this.state.role !== 'leader') return fail(this.state.notLeader())
    const { voters, learners } = this.state.log.latestMembership()
    if (voters.some(voter => voter.id === replica.id)) return succeed(this.state.takeEffects())
    const others = learners.filter(learner => learner.id !== replica.id)
    return this.#appendChange({ voters, learners: [...others, replica] }, now)
  }

  /**
   * Promotes a learner to voter if its log is nearly complete.
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
    if (lag > state.settings.promotionLag) return fail({ kind: 'learner-lags', lag })
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
