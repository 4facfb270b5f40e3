import { z } from 'zod'

/** Orders to engines during a rollout of weights. */
export const rolloutChanges = {
  'order-right-claimed': z.strictObject({ term: z.number(), outcome: z.string(), previous: z.string(), waitMs: z.number() }),
  'weights-ordered': z.strictObject({
    endpoint: z.string(), model: z.string(), version: z.number(), expectedOrders: z.number(), outcome: z.string(), isConfirmed: z.boolean()
  })
}
