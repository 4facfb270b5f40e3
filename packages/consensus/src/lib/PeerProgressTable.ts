/** How far each peer has followed the leader, in log and in time. */
import type { Replica } from './messages/raftMessages.js'

/** One peer as the leader knows it. */
export interface PeerProgress {
  /** Next entry to send. */
  nextIndex: number
  /** Last entry known to be on its disk. */
  matchIndex: number
  /** Leader's clock when the newest acknowledged message was sent. */
  lastContactAt: number
  snapshotSentAt: number
  /** Leader's clock when it first sent to this peer; silence counts from then. */
  firstSentAt: number | undefined
}

/** Progress of all peers during one leadership. */
export class PeerProgressTable {
  readonly #peers = new Map<string, PeerProgress>()

  /** @param firstIndex - where replication starts for a peer that has not answered yet */
  constructor (private readonly firstIndex: number) {}

  /**
   * @param id - peer
   * @returns its progress, to be updated in place
   */
  progressOf (id: string): PeerProgress {
    const existing = this.#peers.get(id)
    if (existing !== undefined) return existing
    const created = {
      nextIndex: this.firstIndex,
      matchIndex: 0,
      lastContactAt: Number.NEGATIVE_INFINITY,
      snapshotSentAt: Number.NEGATIVE_INFINITY,
      firstSentAt: undefined
    }
    this.#peers.set(id, created)
    return created
  }

  /**
   * @param id - peer
   * @returns last entry known to be on its disk
   */
  matchIndex (id: string): number {
    return this.#peers.get(id)?.matchIndex ?? 0
  }

  /**
   * Highest entry that a majority of voters holds.
   *
   * @param voters - who counts
   * @param self - the leader's id
   * @param ownIndex - the leader's last entry
   */
  majorityMatchIndex (voters: readonly Replica[], self: string, ownIndex: number): number {
    return majorityValue(voters.map(voter => voter.id === self ? ownIndex : this.matchIndex(voter.id)))
  }

  /**
   * Newest time at which a majority of voters is known to have followed the leader.
   *
   * @param voters - who counts
   * @param self - the leader's id
   * @param now - monotonic milliseconds
   */
  quorumContactAt (voters: readonly Replica[], self: string, now: number): number {
    return majorityValue(voters.map(voter => voter.id === self ? now : this.progressOf(voter.id).lastContactAt))
  }
}

/** Largest value that more than half of the values reach; minus infinity if there are none. */
function majorityValue (values: number[]): number {
  values.sort((left, right) => right - left)
  return values[Math.floor(values.length / 2)] ?? Number.NEGATIVE_INFINITY
}
