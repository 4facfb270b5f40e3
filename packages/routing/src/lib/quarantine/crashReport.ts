/** What entry hosts tell of requests that were under way at an endpoint when their connection to it broke. */
import { z } from 'zod'
import { fingerprintSchema } from '@eelgrassmux/schema/quarantineEntry'

const LONGEST_NAME = 256

const nameSchema = z.string().min(1).max(LONGEST_NAME)
const timeSchema = z.number().min(0)

/** Reports that one host holds at most, the newest ones: two endpoints full of its requests. */
export const MAX_REPORTS_PER_HOST = 256

export const crashReportSchema = z.strictObject({
  fingerprint: fingerprintSchema,
  service: nameSchema,
  /** Incarnation of the endpoint. */
  endpoint: nameSchema,
  /** Milliseconds since the connection broke. */
  agoMs: timeSchema,
  /** Milliseconds for which the endpoint had had the request by then. */
  ranMs: timeSchema
})

/** One request that was lost with one endpoint. */
export type CrashReport = z.infer<typeof crashReportSchema>
