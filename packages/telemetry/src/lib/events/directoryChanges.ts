import { z } from 'zod'

/** Shards of a directory. */
export const directoryChanges = {
  'shard-taken': z.strictObject({ shard: z.number(), epoch: z.number() }),
  'shard-lost': z.strictObject({ shard: z.number() }),
  'shards-handed-over': z.strictObject({ isTaken: z.boolean() })
}
