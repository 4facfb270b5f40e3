import { z } from 'zod'

/** Life of a process. */
export const processChanges = {
  loaded: z.strictObject({
    /** `no`, or why the code kept by the build was not used. */
    compiledAnew: z.string(),
    isPortOpen: z.boolean().optional()
  }),
  started: z.strictObject({
    http: z.string().optional(),
    peer: z.string().optional(),
    rpc: z.string().optional(),
    replicaId: z.string().optional(),
    operators: z.string().optional(),
    admin: z.string()
  }),
  reloading: z.strictObject({}),
  reloaded: z.strictObject({
    /** Empty if there was none. */
    error: z.string(),
    contacts: z.string()
  }),
  draining: z.strictObject({}),
  stopped: z.strictObject({}),
  /** Lines about requests beyond the most in a second, failures last. */
  'request-lines-left-out': z.strictObject({ count: z.number() }),
  /** Lines that were not written because nobody read the ones before. */
  'log-lines-dropped': z.strictObject({ count: z.number() })
}
