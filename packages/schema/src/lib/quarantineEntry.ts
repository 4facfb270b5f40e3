/** What is agreed about requests that may crash the endpoints that run them. */
import { z } from 'zod'

const MAX_NAME_LENGTH = 200

export const fingerprintSchema = z.string().regex(/^[0-9a-f]{32}$/, 'a fingerprint has 32 hexadecimal digits')

const serviceSchema = z.string().min(1).max(MAX_NAME_LENGTH)

export const quarantineStateSchema = z.enum([
  /** It was at more than one endpoint that crashed; hosts say if it completes. */
  'suspected',
  /** It crashed the endpoints that ran it, and is not run. */
  'quarantined',
  /** It is run again; one more crash is enough to quarantine it. */
  'released'
])

/** Agreed on by the control hosts. */
export const quarantineEntrySchema = z.strictObject({
  fingerprint: fingerprintSchema,
  service: serviceSchema,
  state: quarantineStateSchema,
  /** When this state ends, on the agreed clock, in milliseconds. */
  endsAt: z.number(),
  /** How many times it was quarantined. */
  quarantines: z.number().int().min(0)
})

/** As hosts are told: clocks of hosts differ, so they hear what is left. */
export const quarantineEntryMessageSchema = quarantineEntrySchema.omit({ endsAt: true }).extend({ leftMs: z.number() })

/** A step that the leader proposes. */
export const quarantineDecisionSchema = z.strictObject({
  fingerprint: fingerprintSchema,
  service: serviceSchema,
  decision: z.enum(['suspect', 'quarantine', 'clear']),
  /** How long it holds, in milliseconds; 0 for `clear`. */
  forMs: z.number().min(0)
})

export type QuarantineState = z.infer<typeof quarantineStateSchema>
export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>
export type QuarantineEntryMessage = z.infer<typeof quarantineEntryMessageSchema>
export type QuarantineDecision = z.infer<typeof quarantineDecisionSchema>
