/** Tracks whether a new group has reached its required number of voters, from the entries that it has committed. */
import type { LogEntry, Membership, Snapshot } from './messages/raftMessages.js'

/** Progress of the group formation, which decides whether commands are accepted. */
export interface FormationState {
  readonly isFormed: boolean
  /** Index of the newest committed membership; 0 before there is one. */
  readonly membershipIndex: number
  /** Number of voters in the newest committed membership. */
  readonly voters: number
  /** Number of committed voters that the group must reach once. */
  readonly needed: number
}

/**
 * A new group starts with one voter and grows as hosts join. Commands acknowledged
 * before that would be lost with the first host's disk, so the leader accepts no
 * command until the committed membership has reached the required size once. After
 * that it accepts commands with fewer voters as well, because replacing a failed
 * voter removes the old one before it adds the new one.
 */
export class Formation {
  #isFormed: boolean
  #membershipIndex = 0
  #voters = 0

  /**
   * @param needed - number of committed voters that the group must reach once
   * @param snapshot - snapshot read from the disk, if the log has been compacted
   */
  constructor (private readonly needed: number, snapshot: Snapshot | undefined) {
    // A group of one is formed at once: its first replica is a voter from the first entry on.
    this.#isFormed = needed <= 1
    if (snapshot !== undefined) this.observeSnapshot(snapshot)
  }

  get isFormed (): boolean { return this.#isFormed }

  get state (): FormationState {
    return { isFormed: this.#isFormed, membershipIndex: this.#membershipIndex, voters: this.#voters, needed: this.needed }
  }

  /** @param entry - newly committed entry */
  observe (entry: LogEntry): void {
    if (entry.kind === 'membership') this.#observeMembership(entry.index, entry.membership)
    // No leader appends a command before the group is formed, so a committed command proves that it is.
    if (entry.kind === 'command') this.#isFormed = true
  }

  /** @param snapshot - snapshot of committed state, which only formed groups create */
  observeSnapshot ({ index, membership }: Snapshot): void {
    this.#observeMembership(index, membership)
    this.#isFormed = true
  }

  #observeMembership (index: number, { voters }: Membership): void {
    this.#membershipIndex = index
    this.#voters = voters.length
    if (voters.length >= this.needed) this.#isFormed = true
  }
}
