/** Executes a membership change that another host or an operator requests. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Membership } from '@eelgrassmux/consensus/messages/raftMessages'
import type { RaftError } from '@eelgrassmux/consensus/RaftError'
import type { MembershipChange, MembershipChangeResponse } from '@eelgrassmux/rpc/methods/controlMethods'
import { unreachable } from '@eelgrassmux/schema/invariant'
import type { RaftTask } from './RaftTask.js'

/** Maximum wait until a membership change is committed, and polling interval, in milliseconds. */
const COMMIT_TIMEOUT_MS = 1500
const COMMIT_POLL_INTERVAL_MS = 10

/**
 * Changes the membership and waits until the change is committed, so that a
 * caller that repairs the group does not mistake an uncommitted change for a
 * completed one.
 *
 * @param raft - replica of this host
 * @param change - requested change
 * @returns `done` only if the committed membership contains the change
 */
export async function changeMembership (raft: RaftTask, change: MembershipChange): Promise<MembershipChangeResponse> {
  if (change.kind === 'transfer') {
    raft.transfer()
    return { kind: 'done' }
  }
  const error = await raft.change((core, now) => {
    switch (change.kind) {
      case 'add-learner': return core.addLearner(change.replica, now)
      case 'promote': return core.promote(change.id, now)
      case 'remove': return core.remove(change.id, now)
      default: return unreachable(change)
    }
  })
  if (error !== undefined) return toResponse(error)
  const deadline = performance.now() + COMMIT_TIMEOUT_MS
  while (raft.core.isMembershipPending && performance.now() < deadline) await sleep(COMMIT_POLL_INTERVAL_MS)
  // The change may also no longer be pending because another leader has overwritten it.
  const isDone = !raft.core.isMembershipPending && isReflectedIn(change, raft.core.committedMembership)
  return isDone ? { kind: 'done' } : { kind: 'refused', reason: 'not-committed' }
}

function isReflectedIn (change: Exclude<MembershipChange, { kind: 'transfer' }>, { voters, learners }: Membership): boolean {
  const isVoter = (id: string): boolean => voters.some(voter => voter.id === id)
  const isLearner = (id: string): boolean => learners.some(learner => learner.id === id)
  switch (change.kind) {
    case 'add-learner': return isLearner(change.replica.id) || isVoter(change.replica.id)
    case 'promote': return isVoter(change.id)
    case 'remove': return !isLearner(change.id) && !isVoter(change.id)
    default: return unreachable(change)
  }
}

function toResponse (error: RaftError): MembershipChangeResponse {
  if (error.kind === 'not-leader') return { kind: 'not-leader', leader: error.leader?.address ?? '' }
  return { kind: 'refused', reason: error.kind }
}
