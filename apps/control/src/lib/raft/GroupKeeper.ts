/**
 * Keeps this replica in its group, and the group free of replicas that have gone.
 *
 * A replica joins when it is not a member, also when it finds out after a
 * restart that it was removed while it was away. The leader removes voters that
 * a successor has replaced.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { listHosts } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { findSurplusReplica, removeIfStillSurplus } from './MembershipKeeper.js'
import { joinGroup } from './joinGroup.js'
import type { RaftTask } from './RaftTask.js'

/** Interval between looks at the membership, in milliseconds. */
const LOOK_MS = 300

/** Time without a leader after which a replica asks whether it still belongs to the group, in milliseconds. */
const LEADERLESS_MS = 1500

/** Deadline of that question, in milliseconds. */
const ASK_MS = 500

/** Looks after the membership until stopped. */
export class GroupKeeper {
  #isStopped = false
  #leaderlessSince: number | undefined

  /**
   * @param raft - this host's replica
   * @param rpc - client for calls to other control hosts
   * @param contacts - addresses of control hosts that may know the group, as of now
   * @param targetVoters - voters that the group needs
   * @param telemetry - log
   */
  constructor (
    private readonly raft: RaftTask,
    private readonly rpc: RpcClient,
    private readonly contacts: () => readonly string[],
    private readonly targetVoters: number,
    private readonly telemetry: Telemetry
  ) {}

  /** Runs until {@link GroupKeeper.stop}. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#turn()
      await sleep(LOOK_MS)
    }
  }

  /** Ends the loop. */
  stop (): void {
    this.#isStopped = true
  }

  async #turn (): Promise<void> {
    const { core } = this.raft
    if (core.role === 'leader') {
      await this.#removeSurplus(core)
      return
    }
    if (this.#others().length === 0) return
    const isVoter = core.membership.voters.some(voter => voter.id === core.self.id)
    if (!isVoter || await this.#wasRemoved(core)) await this.#join(core)
  }

  async #removeSurplus (core: RaftCore): Promise<void> {
    const surplus = findSurplusReplica(core, this.targetVoters, performance.now())
    if (surplus === undefined) return
    const error = await this.raft.change((group, now) => removeIfStillSurplus(group, surplus.id, this.targetVoters, now))
    this.telemetry.logStateChange('replica-removed', {
      replica: surplus.id, address: surplus.address, silentMs: Math.round(core.silenceMs(surplus.id, performance.now())), outcome: error?.kind ?? 'proposed'
    })
  }

  async #wasRemoved (core: RaftCore): Promise<boolean> {
    const now = performance.now()
    if (core.leader !== undefined) {
      this.#leaderlessSince = undefined
      return false
    }
    this.#leaderlessSince ??= now
    if (now - this.#leaderlessSince < LEADERLESS_MS) return false
    for (const contact of this.#others()) {
      const answer = await this.rpc.call(contact, listHosts, {}, ASK_MS)
      // Only the leader's committed membership is newer than our own for certain.
      if (!answer.ok || answer.value.leader !== answer.value.replicaId) continue
      return ![...answer.value.voters, ...answer.value.learners].some(replica => replica.id === core.self.id)
    }
    return false
  }

  async #join (core: RaftCore): Promise<void> {
    this.telemetry.logStateChange('joining', { replica: core.self.id, contacts: this.#others().join(' ') })
    await joinGroup(this.rpc, core, () => this.#others(), () => this.#isStopped)
    this.#leaderlessSince = undefined
    this.telemetry.logStateChange('joined', { replica: core.self.id })
  }

  #others (): string[] {
    const { self, membership } = this.raft.core
    const known = [...this.contacts(), ...membership.voters.map(voter => voter.address)]
    return [...new Set(known)].filter(address => address !== self.address && address !== '')
  }
}
