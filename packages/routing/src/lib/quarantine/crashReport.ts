/** Reports of entry hosts about requests that were in flight at an endpoint when the connection to it broke. */
import { z } from 'zod'
import { fingerprintSchema } from '@eelgrassmux/schema/quarantineEntry'

const MAX_NAME_LENGTH = 256

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH)
const timeSchema = z.number().min(0)

/** Maximum number of reports that one host keeps, the newest ones: as many as its requests at two full endpoints. */
export const MAX_REPORTS_PER_HOST = 256

export const crashReportSchema = z.strictObject({
  fingerprint: fingerprintSchema,
  service: nameSchema,
  /** Incarnation of the endpoint. */
  endpoint: nameSchema,
  /** Milliseconds since the connection broke. */
  agoMs: timeSchema,
  /** Milliseconds between the start of the request at the endpoint and the broken connection. */
  ranMs: timeSchema
})

/** Report of one request that was lost with one endpoint. */
export type CrashReport = z.infer<typeof crashReportSchema>
