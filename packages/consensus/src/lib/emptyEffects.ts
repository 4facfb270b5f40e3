import type { RaftEffects } from './messages/raftMessages.js'

/** @returns effects without any writes, messages or commits */
export function emptyEffects (): RaftEffects {
  return { writes: [], messages: [], committed: [], installed: undefined }
}
