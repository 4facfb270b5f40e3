/** Timing and limits of a Raft replica. Durations are in milliseconds. */
export interface RaftSettings {
  readonly heartbeatMs: number
  /** A follower that hears no leader starts an election after a random delay between this value and twice this value. */
  readonly electionTimeoutMs: number
  /** How long a leader may act without asking the quorum again, counted from its last confirmed quorum contact; must be below the election timeout. */
  readonly leaseMs: number
  readonly maxEntriesPerAppend: number
  /** Once the commands of a message reach this many bytes, no further entry is added; a single entry may be larger. */
  readonly maxBytesPerAppend: number
  /** Time after which a message with entries or a snapshot counts as delivered although the transport has not reported it; longer than a call may take. */
  readonly deliveryTimeoutMs: number
  /** A learner may be promoted to voter when its log is at most this many entries behind. */
  readonly promotionLag: number
  /** Number of committed voters that a new group must reach once before its leader accepts commands. */
  readonly minimumVoters: number
}

/** Defaults for control hosts in data centres with about a millisecond of latency between them. */
export const DEFAULT_RAFT_SETTINGS: RaftSettings = {
  heartbeatMs: 50, electionTimeoutMs: 300, leaseMs: 240, maxEntriesPerAppend: 256, maxBytesPerAppend: 256 * 1024, deliveryTimeoutMs: 10_000, promotionLag: 16, minimumVoters: 1
}
