import { z } from 'zod'

/** Speed of a link between a store and a data centre: `slowerBy` is the ratio of measured transfer times to those that the site states, `samples` the weighted number of these measurements. */
const linkSpeed = z.strictObject({ link: z.string(), slowerBy: z.number(), samples: z.number() })

/** Changes of stores, seen by control hosts, and of the links to stores, seen by entry hosts. */
export const storeChanges = {
  'store-followed': z.strictObject({ store: z.string(), epoch: z.number(), parts: z.number(), partial: z.number() }),
  'store-lost': z.strictObject({ store: z.string(), reason: z.string() }),
  'store-link-slow': linkSpeed,
  'store-link-sound': linkSpeed,
  'stored-parts-freed': z.strictObject({ store: z.string(), parts: z.number(), outcome: z.string() })
}
