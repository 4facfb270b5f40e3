import { z } from 'zod'

/** Sites, named weights and evacuations: what operators have sent, and what is in force. */
export const siteChanges = {
  'site-put': z.strictObject({ version: z.number(), bytes: z.number(), outcome: z.string() }),
  'site-regions-unknown': z.strictObject({ version: z.number(), regions: z.string() }),
  'site-refused': z.strictObject({ field: z.string(), reason: z.string() }),
  /** `cause`: no leader known, no answer of the leader, or no quorum that confirms this leader. */
  'site-read-refused': z.strictObject({ reason: z.string(), cause: z.string(), leader: z.string(), tookMs: z.number() }),
  'weights-named': z.strictObject({ model: z.string(), version: z.number(), outcome: z.string() }),
  'evacuation-ordered': z.strictObject({ dataCentre: z.string(), isEvacuated: z.boolean(), outcome: z.string() }),
  'evacuation-refused': z.strictObject({ field: z.string(), reason: z.string() }),
  'evacuation-in-force': z.strictObject({ dataCentre: z.string(), isEvacuated: z.boolean(), endpoints: z.number(), underWay: z.number() }),
  'site-in-force': z.strictObject({ version: z.number(), routes: z.number(), view: z.number() }),
  'view-in-force': z.strictObject({ view: z.number(), revision: z.number() }),
  /** A control host has stated a newer view that does not arrive. */
  'view-behind': z.strictObject({
    view: z.number(), newestView: z.number(), behindMs: z.number(), statedBy: z.string(), watched: z.string(), watchMs: z.number(), confirmedMs: z.number().optional()
  }),
  'view-caught-up': z.strictObject({ view: z.number(), watched: z.string(), watchMs: z.number() })
}
