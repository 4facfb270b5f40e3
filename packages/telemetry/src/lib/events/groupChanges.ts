import { z } from 'zod'

const committedMembership = z.strictObject({ term: z.number(), membershipIndex: z.number(), voters: z.number(), needed: z.number() })

/** Changes of the Raft group of control hosts. */
export const groupChanges = {
  'role-changed': z.strictObject({ role: z.string(), term: z.number() }),
  'group-founded': z.strictObject({ replica: z.string(), address: z.string() }),
  'commands-held-back': committedMembership,
  'commands-taken': committedMembership,
  joining: z.strictObject({ replica: z.string(), contacts: z.string() }),
  joined: z.strictObject({ replica: z.string() }),
  'replica-removed': z.strictObject({ replica: z.string(), address: z.string(), silentMs: z.number(), outcome: z.string() })
}
