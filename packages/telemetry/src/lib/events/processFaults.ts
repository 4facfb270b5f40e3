import { z } from 'zod'

/** Faults that end a process. */
export const processFaults = {
  fatal: z.strictObject({ invariant: z.string(), message: z.string() })
}
