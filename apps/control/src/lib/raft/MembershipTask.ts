/**
 * Keeps this replica in its group and removes unreachable replicas from the group.
 *
 * A replica joins if it is not a member, or if it learns after a restart that it
 * was removed while it was down. The leader removes voters that have been
 * replaced by another host.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { listHosts } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'
import type { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { findSurplusReplica, removeIfStillSurplus } from './surplusReplicas.js'
import { joinGroup } from './joinGroup.js'
import type { RaftTask } from './RaftTask.js'

/** Interval between checks of the membership, in milliseconds. */
const CHECK_INTERVAL_MS = 100

/** Time without a leader after which a replica queries whether it is still a member, in milliseconds. */
const LEADERLESS_TIMEOUT_MS = 1500

/** Timeout of the membership query, in milliseconds. */
const MEMBERSHIP_QUERY_TIMEOUT_MS = 500

/** Checks the membership periodically until stopped. */
export class MembershipTask {
  #isStopped = false
  #leaderlessSince: number | undefined

  /**
   * @param raft - replica of this host
   * @param rpc - client for calls to other control hosts
   * @param contacts - returns the current addresses of control hosts that may be members of the group
   * @param targetVoters - number of voters that the group needs, or undefined if it is not configured
   * @param telemetry - log
   */
  constructor (
    private readonly raft: RaftTask,
    private readonly rpc: RpcClient,
    private readonly contacts: () => readonly string[],
    private readonly targetVoters: number | undefined,
    private readonly telemetry: Telemetry
  ) {}

  /** Runs until {@link MembershipTask.stop}. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#checkMembership()
      await sleep(CHECK_INTERVAL_MS)
    }
  }

  /** Stops the loop. */
  stop (): void {
    this.#isStopped = true
  }

  async #checkMembership (): Promise<void> {
    const { core } = this.raft
    if (core.role === 'leader') {
      await this.#removeSurplus(core)
      return
    }
    if (this.#otherContacts().length === 0) return
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
    if (now - this.#leaderlessSince < LEADERLESS_TIMEOUT_MS) return false
    const answers = await Promise.all(this.#otherContacts().map(async contact => await this.rpc.call(contact, listHosts, {}, MEMBERSHIP_QUERY_TIMEOUT_MS)))
    // Only the committed membership of the leader is certainly newer than this replica's own.
    const current = answers.find(answer => answer.ok && answer.value.leader === answer.value.replicaId)
    if (current?.ok !== true) return false
    return ![...current.value.voters, ...current.value.learners].some(replica => replica.id === core.self.id)
  }

  async #join (core: RaftCore): Promise<void> {
    this.telemetry.logStateChange('joining', { replica: core.self.id, contacts: this.#otherContacts().join(' ') })
    await joinGroup(this.rpc, core, () => this.#otherContacts(), () => this.#isStopped, step => {
      this.telemetry.logStateChange('join-step', { replica: core.self.id, lastIndex: core.lastIndex, ...step })
    })
    this.#leaderlessSince = undefined
    this.telemetry.logStateChange('joined', { replica: core.self.id })
  }

  #otherContacts (): string[] {
    const { self, membership } = this.raft.core
    const known = [...this.contacts(), ...membership.voters.map(voter => voter.address)]
    return [...new Set(known)].filter(address => address !== self.address && address !== '')
  }
}
