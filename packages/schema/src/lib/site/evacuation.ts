/** What is agreed about data centres whose endpoints get no new work. */
import { z } from 'zod'

const MAX_NAME_LENGTH = 200

export const dataCentreNameSchema = z.string().min(1).max(MAX_NAME_LENGTH).regex(/^[A-Za-z0-9._-]+$/, 'use letters, digits, dots, dashes and underscores')

/** The last order about one data centre. */
export const evacuationSchema = z.strictObject({
  dataCentre: dataCentreNameSchema,
  /** False once the evacuation was ended. */
  isEvacuated: z.boolean(),
  /** Revision of all evacuations in which the order was applied. */
  revision: z.number().int().min(1),
  /** When it was applied, on the agreed clock, in milliseconds. */
  orderedAt: z.number()
})

export type Evacuation = z.infer<typeof evacuationSchema>
