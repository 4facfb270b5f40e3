/** Setting that lists the data centres. */
import { z } from 'zod'
import { dataCentreNameSchema } from '@eelgrassmux/schema/site/evacuation'

const regionsSchema = z.record(dataCentreNameSchema, z.string())

/** A JSON object that maps each data centre to its region; an empty string or `null` means none. */
export const dataCentresSetting: z.ZodType<Record<string, string>, unknown> = z.string().default('').transform((text, context) => {
  if (text === '' || text === 'null') return {}
  const regions = regionsSchema.safeParse(parseJson(text))
  if (regions.success) return regions.data
  context.addIssue({ code: 'custom', message: 'must be a JSON object with the region of each data centre' })
  return z.NEVER
})

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // The schema rejects undefined, and the error message says what is expected.
    return undefined
  }
}
