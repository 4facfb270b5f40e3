/**
 * Decides whether a host may still act on the view it has.
 *
 * Each control voter states an upper bound of any view in its log. A view that
 * was accepted lies in the logs of a majority, and any two majorities share a
 * voter. So when a majority of voters state that they hold nothing newer, then
 * at the time the first of them was asked nothing newer had been accepted. The
 * host may act on its view for the lease's duration from that time. This needs
 * no leader, so it goes on through elections.
 */
import type { Membership } from '@eelgrassmux/consensus/messages/raftMessages'
import { LiveHostCount } from './LiveHostCount.js'

/** What one voter stated. */
export interface VoterStatement {
  readonly replicaId: string
  readonly membership: Membership
  readonly membershipIndex: number
  readonly newestView: number
  readonly liveEntries: number
  readonly entryPeers: readonly string[]
  /** Monotonic milliseconds on this host when the voter was asked. */
  readonly askedAt: number
}

/** Freshness of one host's view. */
export class FreshnessLease {
  /** For each voter its newest statement, and before it the last one of each older view, oldest first. */
  readonly #statements = new Map<string, VoterStatement[]>()
  readonly #liveEntries = new LiveHostCount()
  #membership: Membership = { voters: [], learners: [] }
  #membershipIndex = -1

  /** @param leaseMs - how long a confirmation lasts, in milliseconds */
  constructor (readonly leaseMs: number) {}

  /** Index of the newest membership that was stated; minus one before any was. */
  get membershipIndex (): number { return this.#membershipIndex }
  /** Voters as the newest statement lists them. */
  get membership (): Membership { return this.#membership }

  /** @param statement - a voter's answer; an older one than known is ignored */
  observe (statement: VoterStatement): void {
    const history = this.#statements.get(statement.replicaId) ?? []
    const newest = history.at(-1)
    if (newest !== undefined && newest.askedAt > statement.askedAt) return
    // That a voter now holds something newer does not take back what it confirmed before.
    const kept = history.filter(earlier =>
      earlier.newestView < statement.newestView && statement.askedAt - earlier.askedAt <= this.leaseMs)
    this.#statements.set(statement.replicaId, [...kept, statement])
    this.#liveEntries.observe(statement.liveEntries, statement.askedAt)
    if (statement.membershipIndex <= this.#membershipIndex) return
    this.#membershipIndex = statement.membershipIndex
    this.#membership = statement.membership
  }

  /**
   * Time until which a view is known to be the newest accepted one.
   *
   * @param viewRevision - view in force on this host
   * @returns monotonic milliseconds; minus infinity if it was never confirmed
   */
  freshUntil (viewRevision: number): number {
    const { voters } = this.#membership
    const askedAt = voters
      .map(voter => this.#confirmedAt(voter.id, viewRevision))
      .sort((left, right) => right - left)
    const quorum = Math.floor(voters.length / 2) + 1
    // The oldest statement of the freshest majority counts.
    return (askedAt[quorum - 1] ?? Number.NEGATIVE_INFINITY) + this.leaseMs
  }

  /**
   * @param viewRevision - view in force on this host
   * @param now - monotonic milliseconds, read at the moment of use
   * @returns whether the host may act on it
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
   * Peer addresses of entry hosts that any voter heard of lately.
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

  #confirmedAt (replicaId: string, viewRevision: number): number {
    // A voter with another membership could be outvoted by one that we do not know.
    const confirmation = this.#statements.get(replicaId)?.findLast(statement =>
      statement.membershipIndex === this.#membershipIndex && statement.newestView <= viewRevision)
    return confirmation?.askedAt ?? Number.NEGATIVE_INFINITY
  }
}
