import { z } from 'zod'

const committedMembership = z.strictObject({ term: z.number(), membershipIndex: z.number(), voters: z.number(), needed: z.number() })

const peerProgress = z.strictObject({ replica: z.string(), matchIndex: z.number(), lastIndex: z.number(), sentBytes: z.number(), rejections: z.number(), forMs: z.number() })

/** Changes of the Raft group of control hosts. */
export const groupChanges = {
  'role-changed': z.strictObject({ role: z.string(), term: z.number() }),
  'group-founded': z.strictObject({ replica: z.string(), address: z.string() }),
  'commands-held-back': committedMembership,
  'commands-taken': committedMembership,
  joining: z.strictObject({ replica: z.string(), contacts: z.string() }),
  joined: z.strictObject({ replica: z.string() }),
  'join-step': z.strictObject({ replica: z.string(), step: z.string(), attempts: z.number(), tookMs: z.number(), lastIndex: z.number(), lastAnswer: z.string() }),
  'peer-behind': peerProgress,
  'peer-caught-up': peerProgress,
  'group-undecided': z.strictObject({ role: z.string(), term: z.number(), lastIndex: z.number(), voters: z.number(), silent: z.string(), replaced: z.string(), forMs: z.number() }),
  'group-decides': z.strictObject({ leader: z.string(), term: z.number(), afterMs: z.number() }),
  'left-group': z.strictObject({ replica: z.string() }),
  'replica-removed': z.strictObject({ replica: z.string(), address: z.string(), silentMs: z.number(), outcome: z.string() })
}
