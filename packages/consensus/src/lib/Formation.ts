/** Knows whether a new group can bear the losses that it must bear, from what it has committed. */
import type { LogEntry, Membership, Snapshot } from './messages/raftMessages.js'

/** What a decision about a command rests on. */
export interface FormationState {
  readonly isFormed: boolean
  /** Index of the newest committed membership; 0 before there is one. */
  readonly membershipIndex: number
  /** Its voters. */
  readonly voters: number
  /** Voters that the group must once have had. */
  readonly needed: number
}

/**
 * A new group begins with one voter and grows as hosts join. What it acknowledged
 * before it has grown would be lost with that one disk, so its leader appends no
 * command until its committed membership was once complete. From then on it takes
 * commands with fewer voters, too: a repair removes a voter before it adds one.
 */
export class Formation {
  #isFormed: boolean
  #membershipIndex = 0
  #voters = 0

  /**
   * @param needed - voters that the group must once have had
   * @param snapshot - what the disk held, if the log does not begin at the founding
   */
  constructor (private readonly needed: number, snapshot: Snapshot | undefined) {
    // A group of one needs no other; its founder is a voter from the first entry on.
    this.#isFormed = needed <= 1
    if (snapshot !== undefined) this.observeSnapshot(snapshot)
  }

  get isFormed (): boolean { return this.#isFormed }

  get state (): FormationState {
    return { isFormed: this.#isFormed, membershipIndex: this.#membershipIndex, voters: this.#voters, needed: this.needed }
  }

  /** @param entry - an entry that has just been committed */
  observe (entry: LogEntry): void {
    if (entry.kind === 'membership') this.#observeMembership(entry.index, entry.membership)
    // Nobody appends a command before the group is formed, so whoever meets one knows that it was.
    if (entry.kind === 'command') this.#isFormed = true
  }

  /** @param snapshot - committed state; it is made of formed groups only */
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
