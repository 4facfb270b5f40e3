import { z } from 'zod'

/** Faults of any process. */
export const processFaults = {
  /** The process ends by it. */
  fatal: z.strictObject({ invariant: z.string(), message: z.string() }),
  /** An operator's tool got no answer. */
  'admin-failed': z.strictObject({ path: z.string(), message: z.string() })
}
