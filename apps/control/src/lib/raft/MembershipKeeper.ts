/** Decides, on the leader, which replica no longer belongs to the group. */
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import type { RaftError } from '@eelgrassmux/consensus/RaftError'
import type { RaftEffects, Replica } from '@eelgrassmux/consensus/messages/raftMessages'
import { fail, type Result } from '@eelgrassmux/schema/Result'

/**
 * Silence after which a surplus voter is taken for gone, in milliseconds: longer
 * than an election and a process restart together, shorter than the four seconds
 * after which the platform counts a successor as caught up.
 */
export const SURPLUS_SILENCE_MS = 2500

/** Silence after which a learner is taken for gone, in milliseconds; it has no vote, so nothing hurries. */
export const LEARNER_SILENCE_MS = 10_000

/**
 * A voter is removed only once the group has more voters than it needs: that
 * means that a successor has joined. Without one the silent voter stays, because
 * removing it would not make the group bear more.
 *
 * @param core - the leader's replica
 * @param targetVoters - voters that the group needs
 * @param now - monotonic milliseconds
 * @returns the replica to remove next, or undefined
 */
export function findSurplusReplica (core: RaftCore, targetVoters: number, now: number): Replica | undefined {
  if (core.role !== 'leader' || core.isMembershipPending) return undefined
  const { voters, learners } = core.membership
  const silence = (replica: Replica): number => core.silenceMs(replica.id, now)
  if (voters.length > targetVoters) {
    const mostSilent = [...voters].sort((left, right) => silence(right) - silence(left))[0]
    if (mostSilent !== undefined && silence(mostSilent) > SURPLUS_SILENCE_MS) return mostSilent
  }
  return learners.find(learner => silence(learner) > LEARNER_SILENCE_MS)
}

/**
 * Removes a replica, for the step of the core: what was found before the step may no longer hold in it.
 *
 * @param core - the leader's replica
 * @param id - what {@link findSurplusReplica} named
 * @param targetVoters - voters that the group needs
 * @param now - monotonic milliseconds
 * @returns `change-in-progress` if the group has changed meanwhile
 */
export function removeIfStillSurplus (core: RaftCore, id: string, targetVoters: number, now: number): Result<RaftEffects, RaftError> {
  if (findSurplusReplica(core, targetVoters, now)?.id !== id) return fail({ kind: 'change-in-progress' })
  return core.remove(id, now)
}
