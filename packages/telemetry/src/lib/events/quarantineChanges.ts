import { z } from 'zod'

/** What is believed of requests that may end the endpoints that run them. */
export const quarantineChanges = {
  'endpoint-end-checked': z.strictObject({ endpoint: z.string(), hasEnded: z.boolean() }),
  'request-judged': z.strictObject({
    fingerprint: z.string(),
    service: z.string(),
    judgement: z.string(),
    forMs: z.number(),
    ends: z.number(),
    longestRunMs: z.number(),
    endpoints: z.string()
  }),
  'verdict-in-force': z.strictObject({ fingerprint: z.string(), service: z.string(), state: z.string(), quarantines: z.number(), leftMs: z.number(), view: z.number() }),
  'verdict-over': z.strictObject({ fingerprint: z.string(), service: z.string(), state: z.string(), view: z.number() })
}
