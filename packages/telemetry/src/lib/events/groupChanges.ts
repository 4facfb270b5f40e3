import { z } from 'zod'

/** The group of control hosts. */
export const groupChanges = {
  'role-changed': z.strictObject({ role: z.string(), term: z.number() }),
  'group-founded': z.strictObject({ replica: z.string(), address: z.string() }),
  joining: z.strictObject({ replica: z.string(), contacts: z.string() }),
  joined: z.strictObject({ replica: z.string() }),
  'replica-removed': z.strictObject({ replica: z.string(), address: z.string(), silentMs: z.number(), outcome: z.string() })
}
