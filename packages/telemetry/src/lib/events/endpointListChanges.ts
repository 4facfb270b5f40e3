import { z } from 'zod'

const response = z.strictObject({ endpoint: z.string(), inFlight: z.number(), lastByteAgoMs: z.number(), avoiders: z.number() })

/** Changes of the endpoint list that a control host reads from the platform. */
export const endpointListChanges = {
  'endpoint-list-changed': z.strictObject({ version: z.number(), endpoints: z.number(), leaving: z.number() }),
  'endpoint-list-lost': z.strictObject({ reason: z.string() }),
  'endpoint-list-regained': z.strictObject({ reason: z.string() }),
  'endpoint-restarted': z.strictObject({ endpoint: z.string(), startedAtMs: z.number() }),
  /** The endpoint responds neither to entry hosts nor to this control host. */
  'endpoint-unresponsive': response,
  'endpoint-responds': response,
  'entries-rejected': z.strictObject({ source: z.string(), entries: z.number(), reason: z.string(), excerpt: z.string() })
}
