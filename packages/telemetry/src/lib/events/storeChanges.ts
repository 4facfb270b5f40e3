import { z } from 'zod'

/** Of a link between a store and a data centre: times that transfers take of what the site states, and how many tell so. */
const linkSpeed = z.strictObject({ link: z.string(), slowerBy: z.number(), samples: z.number() })

/** What control hosts know of stores, and entry hosts of their links. */
export const storeChanges = {
  'store-followed': z.strictObject({ store: z.string(), epoch: z.number(), parts: z.number(), partial: z.number() }),
  'store-lost': z.strictObject({ store: z.string(), reason: z.string() }),
  'store-link-slow': linkSpeed,
  'store-link-sound': linkSpeed,
  'stored-parts-freed': z.strictObject({ store: z.string(), parts: z.number(), outcome: z.string() })
}
