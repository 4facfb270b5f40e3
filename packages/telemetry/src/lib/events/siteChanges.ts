import { z } from 'zod'

/** Sites, named weights and evacuations: what operators have sent, and what is in force. */
export const siteChanges = {
  'site-put': z.strictObject({ version: z.number(), bytes: z.number(), outcome: z.string() }),
  'site-regions-unknown': z.strictObject({ version: z.number(), regions: z.string() }),
  'site-refused': z.strictObject({ field: z.string(), reason: z.string() }),
  'site-read-refused': z.strictObject({ reason: z.string() }),
  'weights-named': z.strictObject({ model: z.string(), version: z.number(), outcome: z.string() }),
  'evacuation-ordered': z.strictObject({ dataCentre: z.string(), isEvacuated: z.boolean(), outcome: z.string() }),
  'evacuation-refused': z.strictObject({ field: z.string(), reason: z.string() }),
  'evacuation-in-force': z.strictObject({ dataCentre: z.string(), isEvacuated: z.boolean(), endpoints: z.number(), underWay: z.number() }),
  'site-in-force': z.strictObject({ version: z.number(), routes: z.number(), view: z.number() }),
  'view-in-force': z.strictObject({ view: z.number(), revision: z.number() })
}
