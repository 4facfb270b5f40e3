/**
 * Decides whether a host may still act on its view.
 *
 * Each voter among the control hosts reports an upper bound of the view revisions
 * in its log. An accepted view is in the logs of a majority, and any two majorities
 * share a voter. So if a majority of voters report that they have nothing newer,
 * nothing newer had been accepted when the first of them was asked. The host may
 * act on its view for the duration of the lease from that time. This requires no
 * leader, so the lease can be renewed during elections.
 */
import type { Membership, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { LiveHostCount } from './LiveHostCount.js'

/** One voter's response to a status request. */
export interface VoterStatement {
  readonly replicaId: string
  readonly membership: Membership
  /** Committed log index at which the membership is in force; 0 if the voter does not know that it is committed. */
  readonly membershipIndex: number
  readonly newestView: number
  readonly liveEntries: number
  readonly entryPeers: readonly string[]
  /** Monotonic milliseconds on this host at which the status request was sent. */
  readonly askedAt: number
}

interface RecordedStatement extends VoterStatement {
  readonly votersKey: string
}

/** Freshness of one host's view. */
export class FreshnessLease {
  /** Statements of each voter, oldest first: the newest one, preceded by the last one for each older view. */
  readonly #statements = new Map<string, RecordedStatement[]>()
  readonly #liveEntries = new LiveHostCount()
  #membership: Membership = { voters: [], learners: [] }
  #membershipIndex = -1
  #votersKey = ''

  /** @param leaseMs - how long a confirmation is valid, in milliseconds */
  constructor (readonly leaseMs: number) {}

  /** Committed log index at which the newest reported membership is in force; 0 if it may not be committed, minus one before the first report. */
  get membershipIndex (): number { return this.#membershipIndex }
  /** Newest reported membership of the control hosts. */
  get membership (): Membership { return this.#membership }

  /** @param statement - statement of a voter; ignored if a newer one of this voter is known */
  observe (statement: VoterStatement): void {
    const statements = this.#statements.get(statement.replicaId) ?? []
    const newest = statements.at(-1)
    if (newest !== undefined && newest.askedAt > statement.askedAt) return
    // Earlier confirmations of a voter stay valid when it reports a newer view.
    const kept = statements.filter(earlier =>
      earlier.newestView < statement.newestView && statement.askedAt - earlier.askedAt <= this.leaseMs)
    const key = votersKey(statement.membership.voters)
    this.#statements.set(statement.replicaId, [...kept, { ...statement, votersKey: key }])
    this.#liveEntries.observe(statement.liveEntries, statement.askedAt)
    const isNewer = statement.membershipIndex > this.#membershipIndex || Math.max(statement.membershipIndex, this.#membershipIndex) === 0
    if (!isNewer) return
    this.#membershipIndex = statement.membershipIndex
    this.#membership = statement.membership
    this.#votersKey = key
  }

  /**
   * Time at which a majority last confirmed that there is no newer view.
   *
   * @param viewRevision - view in force on this host
   * @returns monotonic milliseconds; minus infinity if the view was never confirmed
   */
  confirmedAt (viewRevision: number): number {
    const { voters } = this.#membership
    const askedTimes = voters
      .map(voter => this.#voterConfirmedAt(voter.id, viewRevision))
      .sort((left, right) => right - left)
    const quorum = Math.floor(voters.length / 2) + 1
    // The lease starts at the oldest statement of the most recent majority.
    return askedTimes[quorum - 1] ?? Number.NEGATIVE_INFINITY
  }

  /**
   * Time until which the host may act on a view.
   *
   * @param viewRevision - view in force on this host
   * @returns monotonic milliseconds; minus infinity if the view was never confirmed
   */
  freshUntil (viewRevision: number): number {
    return this.confirmedAt(viewRevision) + this.leaseMs
  }

  /**
   * @param viewRevision - view in force on this host
   * @param now - monotonic milliseconds, read at the moment of use
   * @returns whether the host may act on the view
   */
  isFresh (viewRevision: number, now: number): boolean {
    return now < this.freshUntil(viewRevision)
  }

  /**
   * Number of entry hosts that may be alive.
   *
   * @param now - monotonic milliseconds
   */
  liveEntries (now: number): number {
    return this.#liveEntries.at(now)
  }

  /**
   * Peer addresses of the entry hosts in the recent statements of all voters.
   *
   * @param now - monotonic milliseconds
   */
  entryPeers (now: number): string[] {
    const peers = new Set<string>()
    for (const history of this.#statements.values()) {
      const statement = history.at(-1)
      if (statement === undefined || now - statement.askedAt > this.leaseMs) continue
      for (const peer of statement.entryPeers) peers.add(peer)
    }
    return [...peers]
  }

  #voterConfirmedAt (replicaId: string, viewRevision: number): number {
    // A voter with other voters in its membership may belong to a majority that this host does not know. The voters are compared
    // because replicas may report the same membership at different log indexes.
    const confirmation = this.#statements.get(replicaId)?.findLast(statement =>
      statement.votersKey === this.#votersKey && statement.newestView <= viewRevision)
    return confirmation?.askedAt ?? Number.NEGATIVE_INFINITY
  }
}

/** Identifies a set of voters. */
function votersKey (voters: readonly Replica[]): string {
  return voters.map(({ id }) => id).sort().join(' ')
}
