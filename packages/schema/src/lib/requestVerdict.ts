/** What is agreed about requests that may end the endpoints that run them. */
import { z } from 'zod'

const LONGEST_NAME = 200

export const fingerprintSchema = z.string().regex(/^[0-9a-f]{32}$/, 'a fingerprint has 32 hexadecimal digits')

const serviceSchema = z.string().min(1).max(LONGEST_NAME)

export const verdictStateSchema = z.enum([
  /** It was at more than one endpoint that ended; hosts say if it comes through. */
  'suspected',
  /** It ended the endpoints that ran it, and is not run. */
  'quarantined',
  /** It is run again; one more end is enough to hold it back. */
  'released'
])

/** Agreed on by the control hosts. */
export const requestVerdictSchema = z.strictObject({
  fingerprint: fingerprintSchema,
  service: serviceSchema,
  state: verdictStateSchema,
  /** When this state ends, on the agreed clock, in milliseconds. */
  endsAt: z.number(),
  /** How many times it was quarantined. */
  quarantines: z.number().int().min(0)
})

/** As hosts are told: clocks of hosts differ, so they hear what is left. */
export const toldVerdictSchema = requestVerdictSchema.omit({ endsAt: true }).extend({ leftMs: z.number() })

/** A step that the leader proposes. */
export const judgementSchema = z.strictObject({
  fingerprint: fingerprintSchema,
  service: serviceSchema,
  judgement: z.enum(['suspect', 'quarantine', 'clear']),
  /** How long it holds, in milliseconds; 0 for `clear`. */
  forMs: z.number().min(0)
})

export type VerdictState = z.infer<typeof verdictStateSchema>
export type RequestVerdict = z.infer<typeof requestVerdictSchema>
export type ToldVerdict = z.infer<typeof toldVerdictSchema>
export type Judgement = z.infer<typeof judgementSchema>
