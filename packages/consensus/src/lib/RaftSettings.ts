/** Timing and limits of a replica. Durations are in milliseconds. */
export interface RaftSettings {
  readonly heartbeatMs: number
  /** A follower waits between this and twice this without a leader before it stands for election. */
  readonly electionTimeoutMs: number
  /** How long a confirmed quorum contact lets the leader act alone; below the election timeout. */
  readonly leaseMs: number
  readonly maxEntriesPerAppend: number
  /** Bytes of commands after which a message takes no further entry; a single larger entry goes alone. */
  readonly maxBytesPerAppend: number
  /** A learner may become a voter when it lags by no more entries than this. */
  readonly promotionLag: number
  /** Committed voters that a new group must once have had before its leader appends a command. */
  readonly minimumVoters: number
}

/** Settings for control hosts in data centres about a millisecond apart. */
export const DEFAULT_RAFT_SETTINGS: RaftSettings = {
  heartbeatMs: 50, electionTimeoutMs: 300, leaseMs: 240, maxEntriesPerAppend: 256, maxBytesPerAppend: 1024 * 1024, promotionLag: 16, minimumVoters: 1
}
