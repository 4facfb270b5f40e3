import { z } from 'zod'

/** What control hosts know of stores. */
export const storeChanges = {
  'store-followed': z.strictObject({ store: z.string(), epoch: z.number(), parts: z.number(), partial: z.number() }),
  'store-lost': z.strictObject({ store: z.string(), reason: z.string() }),
  'stored-parts-freed': z.strictObject({ store: z.string(), parts: z.number(), outcome: z.string() })
}
