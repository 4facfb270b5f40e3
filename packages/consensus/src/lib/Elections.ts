/** Leader election: starts elections, requests votes and grants votes. */
import type { LeaderReplication } from './LeaderReplication.js'
import type { RaftState } from './RaftState.js'
import type { RaftMessage, Replica, VoteRequest, VoteResponse } from './messages/raftMessages.js'

/** Election logic of one replica. A pre-vote precedes each election, so that a replica that cannot win does not depose a healthy leader. */
export class Elections {
  #votes = new Set<string>()
  /** Voters that have responded in this election, whether or not they granted their vote. */
  #respondents = new Set<string>()
  #nextVoteRequestAt = 0
  /** Whether the leader requested this election, so that voters may vote although they still hear the leader. */
  #isTransfer = false

  /**
   * @param state - shared state of the replica
   * @param replication - takes over when this replica wins an election
   */
  constructor (private readonly state: RaftState, private readonly replication: LeaderReplication) {}

  /** Voters that have not responded to this replica's vote requests since it last started an election. */
  get silentVoters (): Replica[] {
    const { self, log } = this.state
    return log.latestMembership().voters.filter(voter => voter.id !== self.id && !this.#respondents.has(voter.id))
  }

  /**
   * Advances the election timers. Called only while this replica is not the leader.
   *
   * @param now - monotonic milliseconds
   */
  tick (now: number): void {
    const { state } = this
    if (now >= state.electionDeadline && state.isVoter(state.self.id)) this.#startPreVote(now)
    else if (state.role !== 'follower' && now >= this.#nextVoteRequestAt) this.#requestVotes(now)
  }

  /**
   * Whether to drop a vote request because a leader is alive; this keeps the leader's lease valid.
   *
   * @param message - message of any kind
   * @param now - monotonic milliseconds
   */
  shouldIgnore (message: RaftMessage, now: number): boolean {
    if (message.kind !== 'vote-request' || message.transfer) return false
    if (this.state.role === 'leader') return !this.replication.hasLostQuorum(now)
    return now < this.state.lastLeaderContact + this.state.settings.electionTimeoutMs
  }

  /**
   * Starts an election at once, because the leader transfers its leadership.
   *
   * @param now - monotonic milliseconds
   */
  startTransferElection (now: number): void {
    this.#startElection(now, true)
  }

  /**
   * @param request - vote request of a candidate
   * @param now - monotonic milliseconds
   */
  onVoteRequest (request: VoteRequest, now: number): void {
    const { state } = this
    const { lastTerm, lastIndex } = state.log
    const isLogUpToDate = request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= lastIndex)
    const isVoteAvailable = request.preVote
      ? request.term > state.term
      : request.term === state.term && (state.votedFor === undefined || state.votedFor === request.from)
    const granted = isVoteAvailable && isLogUpToDate && state.role !== 'leader'
    if (granted && !request.preVote) {
      state.setVote(state.term, request.from)
      state.electionDeadline = now + state.electionDelay()
    }
    state.sendTo(request.from, {
      kind: 'vote-response', from: state.self.id, term: state.term, preVote: request.preVote, granted, askedTerm: request.term
    })
  }

  /**
   * @param response - response of a voter
   * @param now - monotonic milliseconds
   */
  onVoteResponse (response: VoteResponse, now: number): void {
    const { state } = this
    if (response.term > state.term) {
      state.adoptTerm(response.term, now)
      return
    }
    this.#respondents.add(response.from)
    const expectedTerm = response.preVote ? state.term + 1 : state.term
    const expectedRole = response.preVote ? 'pre-candidate' : 'candidate'
    if (!response.granted || response.askedTerm !== expectedTerm || state.role !== expectedRole) return
    this.#votes.add(response.from)
    if (!this.#hasQuorum()) return
    if (response.preVote) this.#startElection(now, false)
    else this.replication.becomeLeader(now)
  }

  #startPreVote (now: number): void {
    const { state } = this
    state.role = 'pre-candidate'
    state.leader = undefined
    this.#respondents = new Set()
    this.#votes = new Set([state.self.id])
    state.electionDeadline = now + state.electionDelay()
    if (this.#hasQuorum()) {
      this.#startElection(now, false)
      return
    }
    this.#isTransfer = false
    this.#requestVotes(now)
  }

  #startElection (now: number, transfer: boolean): void {
    const { state } = this
    state.role = 'candidate'
    state.leader = undefined
    state.setVote(state.term + 1, state.self.id)
    this.#votes = new Set([state.self.id])
    state.electionDeadline = now + state.electionDelay()
    if (this.#hasQuorum()) {
      this.replication.becomeLeader(now)
      return
    }
    this.#isTransfer = transfer
    this.#requestVotes(now)
  }

  /** Called again at each heartbeat interval: after a restart of all replicas the first requests are lost, because the receivers do not listen yet. */
  #requestVotes (now: number): void {
    const { state } = this
    this.#nextVoteRequestAt = now + state.settings.heartbeatMs
    const { lastIndex, lastTerm } = state.log
    const preVote = state.role === 'pre-candidate'
    const term = preVote ? state.term + 1 : state.term
    const transfer = this.#isTransfer
    for (const voter of state.log.latestMembership().voters) {
      if (this.#votes.has(voter.id)) continue
      state.send(voter, { kind: 'vote-request', from: state.self.id, term, preVote, lastIndex, lastTerm, transfer })
    }
  }

  #hasQuorum (): boolean {
    const { voters } = this.state.log.latestMembership()
    return voters.filter(voter => this.#votes.has(voter.id)).length > voters.length / 2
  }
}
