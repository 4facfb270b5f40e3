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
  'admin-failed': z.strictObject({ path: z.string(), message: z.string() }),
  /** A listening server could not accept a connection; it goes on. `errors` counts them since the start. */
  'accept-failed': z.strictObject({ port: z.string(), code: z.string(), errors: z.number() })
}
