import { z } from 'zod'

/** Progress of an entry host's graceful stop. */
export const stopChanges = {
  'stop-step': z.strictObject({
    step: z.string(), underWay: z.number(), sinceSignalMs: z.number(), balancerLagMs: z.number(), graceMs: z.number()
  })
}
