import { z } from 'zod'

/** Decisions of the leading control host about waiting requests, which it knows by their host and ticket. */
export const waitingDecisions = {
  'waiting-decided': z.strictObject({
    decision: z.string(),
    customer: z.string(),
    urgency: z.number(),
    tokens: z.number(),
    waitedMs: z.number(),
    patienceMs: z.number(),
    /** Requests that wait for the service. */
    waiting: z.number(),
    endpoint: z.string().optional(),
    retryAfterMs: z.number().optional()
  })
}
