/** Properties of a replica's log that are known without waiting for commits. */
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

/**
 * Returns the index of the log entry with the current membership.
 *
 * @param core - replica with the log
 */
export function membershipIndexOf (core: RaftCore): number {
  for (let index = core.lastIndex; index > 0; index -= 1) {
    const entry = core.entryAt(index)
    if (entry === undefined) break
    if (entry.kind === 'membership') return index
  }
  return core.snapshot?.index ?? 0
}
