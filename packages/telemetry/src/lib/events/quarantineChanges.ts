import { z } from 'zod'

/** Changes of the quarantine of requests that may crash the endpoints that run them. */
export const quarantineChanges = {
  'endpoint-crash-checked': z.strictObject({ endpoint: z.string(), hasCrashed: z.boolean() }),
  'quarantine-decided': z.strictObject({
    fingerprint: z.string(),
    service: z.string(),
    decision: z.string(),
    forMs: z.number(),
    crashes: z.number(),
    longestRunMs: z.number(),
    endpoints: z.string()
  }),
  'quarantine-in-force': z.strictObject({ fingerprint: z.string(), service: z.string(), state: z.string(), quarantines: z.number(), leftMs: z.number(), view: z.number() }),
  'quarantine-removed': z.strictObject({ fingerprint: z.string(), service: z.string(), state: z.string(), view: z.number() })
}
