/** Holds back the first commands until a new group can bear the losses that it must bear. */
import type { Command } from '@eelgrassmux/state/commands'
import type { ProposeOutcome, RaftTask } from './RaftTask.js'

/**
 * A new group begins with one voter and grows as hosts join. What it acknowledged
 * before it has grown would be lost with that one disk, so the leader takes no
 * command until its membership was once complete.
 */
export class FormationGate {
  /**
   * @param raft - the replica
   * @param minimumVoters - voters that a new group must have before it takes its first command
   */
  constructor (private readonly raft: RaftTask, private readonly minimumVoters: number) {}

  /** Whether commands may be taken: the group is complete, or has been. */
  get isFormed (): boolean {
    const { state, core } = this.raft
    const hasTakenCommands = state.revision > 0 || state.sites.put !== undefined || state.sites.weights.length > 0
    return hasTakenCommands || core.committedMembership.voters.length >= this.minimumVoters
  }

  /**
   * @param command - what to apply
   * @returns what became of it; before the group is formed nothing is appended
   */
  async propose (command: Command): Promise<ProposeOutcome> {
    if (this.raft.core.role === 'leader' && !this.isFormed) return { kind: 'not-leader', leader: '' }
    return await this.raft.propose(command)
  }
}
