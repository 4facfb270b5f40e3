/**
 * Brings a replica with an empty disk into the group: as a learner first, as a
 * voter once it holds nearly all of the log. A voter that stood at the same
 * address has lost its disk and is removed just before, so that the group never
 * counts on two identities of one host.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { changeMembership, type MembershipChange, type MembershipChangeResponse } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'

/** Pause between attempts, in milliseconds. */
const RETRY_INTERVAL_MS = 200

/** Deadline of each call, in milliseconds. */
const CALL_TIMEOUT_MS = 2000

/** Wait for the first messages of the leader before it is asked again, in milliseconds; they come at once. */
const CATCH_UP_TIMEOUT_MS = 1500

/** What joining needs to know of this replica, as of now. */
export type JoiningReplica = Pick<RaftCore, 'self' | 'membership' | 'leader'>

/** Addresses of replicas in the group, as of now. */
type Contacts = () => readonly string[]

/**
 * Joins, trying until it succeeds.
 *
 * @param rpc - client for the calls
 * @param core - this replica
 * @param contacts - addresses of replicas in the group
 * @param isStopped - whether to give up
 */
export async function joinGroup (rpc: RpcClient, core: JoiningReplica, contacts: Contacts, isStopped: () => boolean): Promise<void> {
  const { self } = core
  const isCaughtUp = (): boolean => isInReceivedMembership(core)
  do {
    await retryUntilDone(rpc, contacts, { kind: 'add-learner', replica: self }, isStopped)
    await waitFor(isCaughtUp, isStopped)
    // Whoever added us may have been replaced, or may have removed us again: ask anew.
  } while (!isCaughtUp() && !isStopped())
  for (const formerId of formerIdentities(core)) await retryUntilDone(rpc, contacts, { kind: 'remove', id: formerId }, isStopped)
  await retryUntilDone(rpc, contacts, { kind: 'promote', id: self.id }, isStopped)
}

async function waitFor (isReached: () => boolean, isStopped: () => boolean): Promise<void> {
  const deadline = performance.now() + CATCH_UP_TIMEOUT_MS
  while (!isReached() && !isStopped() && performance.now() < deadline) await sleep(RETRY_INTERVAL_MS)
}

async function retryUntilDone (rpc: RpcClient, contacts: Contacts, change: MembershipChange, isStopped: () => boolean): Promise<void> {
  let target: string | undefined
  for (let attempt = 0; !isStopped(); attempt += 1) {
    const known = contacts()
    const address = target ?? known[attempt % known.length] ?? ''
    const answer = await rpc.call(address, changeMembership, change, CALL_TIMEOUT_MS)
    if (answer.ok && isDone(answer.value, change)) return
    target = answer.ok && answer.value.kind === 'not-leader' && answer.value.leader !== '' ? answer.value.leader : undefined
    await sleep(RETRY_INTERVAL_MS)
  }
}

function isDone (response: MembershipChangeResponse, change: MembershipChange): boolean {
  if (response.kind === 'done') return true
  // Somebody else has removed it already.
  return change.kind === 'remove' && response.kind === 'refused' && response.reason === 'unknown-replica'
}

/** Whether a leader has sent this replica a membership with itself in it. */
function isInReceivedMembership ({ self, membership, leader }: JoiningReplica): boolean {
  return leader !== undefined && [...membership.voters, ...membership.learners].some(replica => replica.id === self.id)
}

/** From the own log, which is newer than the joining; a contact that was asked might know of nobody yet. */
function formerIdentities ({ self, membership }: JoiningReplica): string[] {
  return membership.voters.filter(voter => voter.address === self.address && voter.id !== self.id).map(voter => voter.id)
}
