import { z } from 'zod'

/** Changes of the shards that a directory host owns. */
export const directoryChanges = {
  'shard-taken': z.strictObject({ shard: z.number(), epoch: z.number() }),
  'shard-lost': z.strictObject({ shard: z.number() }),
  'shards-handed-over': z.strictObject({ isTaken: z.boolean() })
}
