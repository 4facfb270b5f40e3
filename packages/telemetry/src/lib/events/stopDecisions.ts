import { z } from 'zod'

const stopFields = {
  sinceSignalMs: z.number(),
  hadEvents: z.boolean().optional()
}

/** Decisions about requests on an entry host that is stopping. */
export const stopDecisions = {
  'taken-while-stopping': z.strictObject({ ...stopFields, isFirstOnConnection: z.boolean().optional() }),
  'awaited-by-stop': z.strictObject(stopFields),
  'cut-by-stop': z.strictObject({ ...stopFields, endpoint: z.string().optional() })
}
