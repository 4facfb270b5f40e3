import { z } from 'zod'

/** Faults of a control host that do not end the process. */
export const controlFaults = {
  /** An exception while a list of another program was used; what was known before stays in use. */
  'input-fault': z.strictObject({ source: z.string(), message: z.string(), stack: z.string() }),
  'disk-full': z.strictObject({ isFull: z.boolean() }),
  'disk-refuses-writes': z.strictObject({ isRefused: z.boolean(), reason: z.string() }),
  'storage-foreign-entries': z.strictObject({ names: z.string() }),
  'storage-set-aside': z.strictObject({ error: z.string(), path: z.string(), replica: z.string() }),
  'write-lost-while-closing': z.strictObject({ message: z.string() })
}
