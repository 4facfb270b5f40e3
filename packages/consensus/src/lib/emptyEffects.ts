import type { RaftEffects } from './messages/raftMessages.js'

/** @returns effects that ask for nothing */
export function emptyEffects (): RaftEffects {
  return { writes: [], messages: [], committed: [], installed: undefined }
}
