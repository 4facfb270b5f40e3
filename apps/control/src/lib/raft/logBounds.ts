/** What a replica can state of its log without waiting for commits. */
import type { RaftCore } from '@eelgrassmux/consensus/RaftCore'
import { mayChangeView } from '@eelgrassmux/state/commandCodec'

/**
 * Upper bound of any view in the log, committed or not.
 *
 * @param core - the replica's log
 * @param appliedIndex - last entry in the state
 * @param appliedView - view of that state
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
 * Index of the log entry that set the membership in force.
 *
 * @param core - the replica's log
 */
export function membershipIndexOf (core: RaftCore): number {
  for (let index = core.lastIndex; index > 0; index -= 1) {
    const entry = core.entryAt(index)
    if (entry === undefined) break
    if (entry.kind === 'membership') return index
  }
  return core.snapshot?.index ?? 0
}
