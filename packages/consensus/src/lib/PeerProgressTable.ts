/** The leader's record of each peer: replicated log index and time of last contact. */
import type { Replica } from './messages/raftMessages.js'

/** Entries or a snapshot that a peer has not acknowledged yet. */
export interface AppendInFlight {
  readonly firstIndex: number
  readonly lastIndex: number
  /** Leader's clock at the time of sending. */
  readonly sentAt: number
  /** Whether the peer has received the message, so that heartbeats can no longer overtake it. */
  isDelivered: boolean
}

/** Replication progress of one peer. */
export interface PeerProgress {
  /** Index of the next entry to send. */
  nextIndex: number
  /** Whether the peer has rejected entries, so that `nextIndex` is a guess which an empty message has to confirm. */
  isProbing: boolean
  /** Leader's clock when it sent the last empty message that has to confirm `nextIndex`. */
  probedAt: number
  /** The only message with entries or a snapshot that is on its way to the peer. */
  inFlight: AppendInFlight | undefined
  /** Whether the last message with entries or a snapshot was lost. */
  wasLost: boolean
  /** Index of the last entry known to be on the disk of the peer. */
  matchIndex: number
  /** Leader's clock when it sent the newest message that the peer acknowledged. */
  lastContactAt: number
  /** Leader's clock when it sent its first message to this peer; the silence of a peer that never responded starts there. */
  firstSentAt: number | undefined
  /** Command bytes sent to the peer in this term, each copy counted. */
  sentBytes: number
  /** Messages that the peer rejected in this term because they did not continue its log. */
  rejections: number
}

/** Replication to one peer, as the leader sees it. */
export interface PeerReport extends Pick<PeerProgress, 'matchIndex' | 'sentBytes' | 'rejections'> {
  readonly replica: Replica
}

/** Progress of all peers during one term of this leader. */
export class PeerProgressTable {
  readonly #peers = new Map<string, PeerProgress>()

  /** @param firstIndex - first index to send to a peer that has not responded yet */
  constructor (private readonly firstIndex: number) {}

  /**
   * @param id - peer id
   * @returns mutable progress of the peer, created on first use
   */
  progressOf (id: string): PeerProgress {
    const existing = this.#peers.get(id)
    if (existing !== undefined) return existing
    const created = {
      nextIndex: this.firstIndex,
      isProbing: false,
      probedAt: Number.NEGATIVE_INFINITY,
      inFlight: undefined,
      wasLost: false,
      matchIndex: 0,
      lastContactAt: Number.NEGATIVE_INFINITY,
      firstSentAt: undefined,
      sentBytes: 0,
      rejections: 0
    }
    this.#peers.set(id, created)
    return created
  }

  /**
   * @param id - peer id
   * @returns index of the last entry known to be on the disk of the peer
   */
  matchIndex (id: string): number {
    return this.#peers.get(id)?.matchIndex ?? 0
  }

  /**
   * Highest index that a majority of voters has stored.
   *
   * @param voters - voters of the latest membership
   * @param self - the leader's id
   * @param ownIndex - index of the leader's last entry
   */
  majorityMatchIndex (voters: readonly Replica[], self: string, ownIndex: number): number {
    return majorityValue(voters.map(voter => voter.id === self ? ownIndex : this.matchIndex(voter.id)))
  }

  /**
   * Newest time, in monotonic milliseconds, at which a majority of voters is known to have followed the leader.
   *
   * @param voters - voters of the latest membership
   * @param self - the leader's id
   * @param now - monotonic milliseconds
   */
  quorumContactAt (voters: readonly Replica[], self: string, now: number): number {
    return majorityValue(voters.map(voter => voter.id === self ? now : this.progressOf(voter.id).lastContactAt))
  }
}

/** Returns the largest value that more than half of the values reach, or minus infinity for an empty list. */
function majorityValue (values: number[]): number {
  values.sort((left, right) => right - left)
  return values[Math.floor(values.length / 2)] ?? Number.NEGATIVE_INFINITY
}
