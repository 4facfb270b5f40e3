import { z } from 'zod'

/** Faults that any process can have. */
export const processFaults = {
  /** Ends the process. */
  fatal: z.strictObject({
    invariant: z.string(),
    message: z.string(),
    exitCode: z.number().optional(),
    uptimeMs: z.number().optional(),
    residentBytes: z.number().optional(),
    /** Requests under way that end with the process. */
    requests: z.number().optional()
  }),
  /** The admin server could not answer an operator's tool. */
  'admin-failed': z.strictObject({ path: z.string(), message: z.string() })
}
