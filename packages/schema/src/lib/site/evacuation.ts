/** Replicated state of evacuations: the endpoints of an evacuated data centre get no new work. */
import { z } from 'zod'

const MAX_NAME_LENGTH = 200

export const dataCentreNameSchema = z.string().min(1).max(MAX_NAME_LENGTH).regex(/^[A-Za-z0-9._-]+$/, 'use letters, digits, dots, dashes and underscores')

/** The latest evacuation order for one data centre. */
export const evacuationSchema = z.strictObject({
  dataCentre: dataCentreNameSchema,
  /** False after the evacuation has ended. */
  isEvacuated: z.boolean(),
  /** Revision of the evacuation state in which the order was applied. */
  revision: z.number().int().min(1),
  /** When the order was applied, in milliseconds on the replicated clock. */
  orderedAt: z.number()
})

export type Evacuation = z.infer<typeof evacuationSchema>
