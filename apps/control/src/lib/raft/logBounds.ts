/** Properties of a replica's log that are known without waiting for commits. */
import type { Membership } from '@eelgrassmux/consensus/messages/raftMessages'
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { mayChangeView } from '@eelgrassmux/state/commandCodec'

/**
 * Returns an upper bound of the view revisions in the log, including uncommitted entries.
 *
 * @param core - replica with the log
 * @param appliedIndex - index of the last entry that was applied to the state
 * @param appliedView - view revision of that state
 */
export function newestViewBound (core: RaftCore, appliedIndex: number, appliedView: number): number {
  let bound = appliedView
  for (let index = appliedIndex + 1; index <= core.lastIndex; index += 1) {
    const entry = core.entryAt(index)
    if (entry?.kind === 'command' && mayChangeView(entry.command)) bound += 1
  }
  return bound
}

/** Latest membership of a replica, as it reports it to a host. */
export interface ReportedMembership {
  /** Absent if the host already knows it. */
  readonly membership?: Membership
  /** Committed log index at which the membership is in force; 0 if this replica does not know that it is committed. */
  readonly membershipIndex: number
}

/**
 * Returns the latest membership in the log. The index names a position at which all replicas agree on the membership: another
 * leader may replace an entry that is not committed by another membership at the same index. The snapshot's index is such a
 * position, although the membership may be older.
 *
 * @param core - replica with the log
 * @param known - index that the host knows a membership of; 0 or less if it knows none
 */
export function reportMembership (core: RaftCore, known: number): ReportedMembership {
  const index = latestMembershipIndex(core)
  if (index === 0 || index > core.commitIndex) return { membership: core.membership, membershipIndex: 0 }
  if (index <= known && known <= core.commitIndex) return { membershipIndex: known }
  return { membership: core.membership, membershipIndex: index }
}

/** Returns the index of the latest membership entry, or of the snapshot if the log behind it has none. */
function latestMembershipIndex (core: RaftCore): number {
  for (let index = core.lastIndex; index > 0; index -= 1) {
    const entry = core.entryAt(index)
    if (entry === undefined) break
    if (entry.kind === 'membership') return index
  }
  return core.snapshot?.index ?? 0
}
