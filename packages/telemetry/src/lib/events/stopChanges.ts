import { z } from 'zod'

/** How far the planned stop of an entry host is. */
export const stopChanges = {
  'stop-step': z.strictObject({
    step: z.string(), underWay: z.number(), sinceSignalMs: z.number(), balancerLagMs: z.number(), graceMs: z.number()
  })
}
