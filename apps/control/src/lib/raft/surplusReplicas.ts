/** Determines, on the leader, which replica should be removed from the group. */
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import type { RaftError } from '@eelgrassmux/consensus/RaftError'
import type { RaftEffects, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { fail, type Result } from '@eelgrassmux/schema/Result'

/**
 * Silence after which a surplus voter is considered gone, in milliseconds. This is
 * longer than an election and a process restart together, and shorter than the four
 * seconds after which the platform considers a replacement host caught up.
 */
export const SURPLUS_VOTER_SILENCE_MS = 2500

/** Silence after which a learner is considered gone, in milliseconds. Removal is not urgent, because a learner has no vote. */
export const LEARNER_SILENCE_MS = 10_000

/**
 * Finds the replica to remove next. A silent voter is removed only once the group
 * has more voters than it needs, that is, after a replacement has joined. Without
 * a replacement the voter stays, because its removal would not make the group
 * tolerate more failures. If the size of the group is not configured, replacements look
 * like growth, so no voter is removed; a host removes its former id, operators any other.
 *
 * @param core - replica of the leader
 * @param targetVoters - number of voters that the group needs, or undefined if it is not configured
 * @param now - monotonic milliseconds
 * @returns the replica to remove next, or undefined
 */
export function findSurplusReplica (core: RaftCore, targetVoters: number | undefined, now: number): Replica | undefined {
  if (core.role !== 'leader' || core.isMembershipPending) return undefined
  const { voters, learners } = core.membership
  const silence = (replica: Replica): number => core.silenceMs(replica.id, now)
  if (targetVoters !== undefined && voters.length > targetVoters) {
    const mostSilent = [...voters].sort((left, right) => silence(right) - silence(left))[0]
    if (mostSilent !== undefined && silence(mostSilent) > SURPLUS_VOTER_SILENCE_MS) return mostSilent
  }
  return learners.find(learner => silence(learner) > LEARNER_SILENCE_MS)
}

/**
 * Removes a replica within a step of the core, if it is still surplus. The group may have changed since the replica was found.
 *
 * @param core - replica of the leader
 * @param id - id of the replica that {@link findSurplusReplica} returned
 * @param targetVoters - number of voters that the group needs, or undefined if it is not configured
 * @param now - monotonic milliseconds
 * @returns the effects of the removal, or the error `change-in-progress` if the replica is no longer the one to remove
 */
export function removeIfStillSurplus (core: RaftCore, id: string, targetVoters: number | undefined, now: number): Result<RaftEffects, RaftError> {
  if (findSurplusReplica(core, targetVoters, now)?.id !== id) return fail({ kind: 'change-in-progress' })
  return core.remove(id, now)
}
