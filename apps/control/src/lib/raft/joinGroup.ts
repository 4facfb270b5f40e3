/**
 * Adds a replica with an empty disk to the group. It joins as a learner, which removes
 * a voter with the same address that has lost its disk. It is promoted to voter at once
 * if the group lacks voters, and otherwise once it holds nearly all of the log.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { changeMembership, type MembershipChange, type MembershipChangeResponse } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'

/** Delay between attempts, in milliseconds. */
const RETRY_INTERVAL_MS = 100

/** Timeout of each call, in milliseconds. */
const CALL_TIMEOUT_MS = 2000

/** Maximum wait for an answer before all contacts are asked again, in milliseconds. Earlier calls still count if they are answered later. */
const ATTEMPT_TIMEOUT_MS = 400

/** Time for which the promotion is requested before the replica is added again, in milliseconds. */
const PROMOTION_TIMEOUT_MS = 1500

/** Live view of the joining replica. */
export type JoiningReplica = Pick<RaftCore, 'self' | 'membership' | 'leader'>

/** Returns the current addresses of replicas that may be members of the group. */
type Contacts = () => readonly string[]

/** A completed step of a join. */
export interface JoinStep {
  readonly step: string
  readonly attempts: number
  readonly tookMs: number
  /** Answer to the last attempt before the one that succeeded, or `done` if the first succeeded. */
  readonly lastAnswer: string
}

/**
 * Joins the group and retries until it succeeds.
 *
 * @param rpc - client for calls to the group
 * @param core - replica that joins
 * @param contacts - returns addresses of replicas that may be members of the group
 * @param isStopped - returns true to stop retrying
 * @param onStep - called after each step
 */
export async function joinGroup (rpc: RpcClient, core: JoiningReplica, contacts: Contacts, isStopped: () => boolean, onStep: (step: JoinStep) => void = () => {}): Promise<void> {
  const { self } = core
  const isVoter = (): boolean => core.membership.voters.some(voter => voter.id === self.id)
  do {
    await retryUntilDone(rpc, contacts, { kind: 'add-learner', replica: self }, isStopped, onStep)
    for (const formerId of formerIdentities(core)) await retryUntilDone(rpc, contacts, { kind: 'remove', id: formerId }, isStopped, onStep)
    // The leader that added this replica may have been replaced or may have removed the replica again, so the first request is repeated.
    const deadline = performance.now() + PROMOTION_TIMEOUT_MS
    const isOver = (): boolean => isStopped() || isVoter() || performance.now() > deadline
    if (await retryUntilDone(rpc, contacts, { kind: 'promote', id: self.id }, isOver, onStep)) return
  } while (!isVoter() && !isStopped())
}

async function retryUntilDone (rpc: RpcClient, contacts: Contacts, change: MembershipChange, isStopped: () => boolean, onStep: (step: JoinStep) => void): Promise<boolean> {
  const startedAt = performance.now()
  const request = new RepeatedRequest(rpc, change)
  for (let attempt = 1; !isStopped(); attempt += 1) {
    const lastAnswer = request.lastAnswer
    if (await request.askAll(contacts())) {
      onStep({ step: change.kind, attempts: attempt, tookMs: Math.round(performance.now() - startedAt), lastAnswer })
      return true
    }
    await sleep(RETRY_INTERVAL_MS)
  }
  return false
}

/** One change that is requested from all contacts at the same time, since any of them may not answer; only the leader makes it, once. */
class RepeatedRequest {
  #isDone = false
  #lastAnswer = 'done'

  constructor (private readonly rpc: RpcClient, private readonly change: MembershipChange) {}

  /** Last answer that was not a success, or `done` if there was none. */
  get lastAnswer (): string { return this.#lastAnswer }

  /** Resolves with true once any request has succeeded, and with false if all have failed or the attempt takes too long. */
  async askAll (addresses: readonly string[]): Promise<boolean> {
    const asked = new Set<string>()
    const ask = async (address: string): Promise<void> => {
      if (this.#isDone || asked.has(address)) return
      asked.add(address)
      const answer = await this.rpc.call(address, changeMembership, this.change, CALL_TIMEOUT_MS)
      if (answer.ok && isDone(answer.value, this.change)) this.#isDone = true
      else this.#lastAnswer = answer.ok ? describeAnswer(answer.value) : answer.error.kind
      if (answer.ok && answer.value.kind === 'not-leader' && answer.value.leader !== '') await ask(answer.value.leader)
    }
    const succeeded = addresses.map(async address => {
      await ask(address)
      if (!this.#isDone) throw new Error(this.#lastAnswer)
    })
    const timeout = new AbortController()
    await Promise.race([Promise.any(succeeded).catch(() => {}), sleep(ATTEMPT_TIMEOUT_MS, undefined, { signal: timeout.signal }).catch(() => {})])
    timeout.abort()
    return this.#isDone
  }
}

function describeAnswer (response: MembershipChangeResponse): string {
  return response.kind === 'refused' ? response.reason : response.kind
}

function isDone (response: MembershipChangeResponse, change: MembershipChange): boolean {
  if (response.kind === 'done') return true
  // The replica has already been removed by another caller.
  return change.kind === 'remove' && response.kind === 'refused' && response.reason === 'unknown-replica'
}

/** Finds earlier ids of this host in its own log, which is newer than the join request. A contact might not know any members yet. */
function formerIdentities ({ self, membership }: JoiningReplica): string[] {
  return membership.voters.filter(voter => voter.address === self.address && voter.id !== self.id).map(voter => voter.id)
}
