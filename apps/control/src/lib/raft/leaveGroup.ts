/** Removes a replica from the group before a planned stop, if the group has all the voters that it needs without it. */
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { changeMembership } from '@eelgrassmux/rpc/methods/controlMethods'
import type { RpcClient } from '@eelgrassmux/rpc/RpcClient'

/** Timeout of the request to the leader, in milliseconds. */
const CALL_TIMEOUT_MS = 700

/** Maximum number of requests; the leader may change in the meantime. */
const MAX_REQUESTS = 2

/**
 * Leaves the group so that a host which is stopped for good does not count as a voter that is silent. A host that comes back
 * notices that it was removed and joins again.
 *
 * @param rpc - client for calls to the leader
 * @param core - replica of this host
 * @param targetVoters - number of voters that the group needs, or undefined if it is not configured
 * @returns whether the replica was removed
 */
export async function leaveIfSurplus (rpc: Pick<RpcClient, 'call'>, core: Pick<RaftCore, 'self' | 'membership' | 'leader'>, targetVoters: number | undefined): Promise<boolean> {
  for (let request = 0; request < MAX_REQUESTS; request += 1) {
    const { self, leader, membership: { voters } } = core
    const isSurplus = targetVoters !== undefined && voters.length > targetVoters && voters.some(voter => voter.id === self.id)
    if (!isSurplus || leader === undefined || leader.id === self.id) return false
    const answer = await rpc.call(leader.address, changeMembership, { kind: 'remove', id: self.id }, CALL_TIMEOUT_MS)
    if (answer.ok && answer.value.kind === 'done') return true
  }
  return false
}
