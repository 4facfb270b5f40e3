/** Replicated state of requests that may crash the endpoints that run them. */
import { z } from 'zod'

const MAX_NAME_LENGTH = 200

export const fingerprintSchema = z.string().regex(/^[0-9a-f]{32}$/, 'a fingerprint has 32 hexadecimal digits')

const serviceSchema = z.string().min(1).max(MAX_NAME_LENGTH)

export const quarantineStateSchema = z.enum([
  /** The request was running at more than one endpoint that crashed. Hosts report if it completes. */
  'suspected',
  /** The request crashed the endpoints that ran it, and is refused. */
  'quarantined',
  /** The request is run again. One more crash puts it back into quarantine. */
  'released'
])

/** State of one fingerprint, replicated among the control hosts. */
export const quarantineEntrySchema = z.strictObject({
  fingerprint: fingerprintSchema,
  service: serviceSchema,
  state: quarantineStateSchema,
  /** When the state ends, in milliseconds on the replicated clock. */
  endsAt: z.number(),
  /** How often the fingerprint was quarantined. */
  quarantines: z.number().int().min(0)
})

/** Form in which entries are sent to other hosts. It has the remaining time instead of the end because the clocks of hosts differ. */
export const quarantineEntryMessageSchema = quarantineEntrySchema.omit({ endsAt: true }).extend({ leftMs: z.number() })

/** A state change that the leader proposes. */
export const quarantineDecisionSchema = z.strictObject({
  fingerprint: fingerprintSchema,
  service: serviceSchema,
  decision: z.enum(['suspect', 'quarantine', 'clear']),
  /** Duration of the new state, in milliseconds; 0 for `clear`. */
  forMs: z.number().min(0)
})

export type QuarantineState = z.infer<typeof quarantineStateSchema>
export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>
export type QuarantineEntryMessage = z.infer<typeof quarantineEntryMessageSchema>
export type QuarantineDecision = z.infer<typeof quarantineDecisionSchema>
