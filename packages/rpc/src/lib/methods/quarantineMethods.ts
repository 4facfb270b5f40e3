/** Methods by which entry hosts tell the leading control host of requests that were lost with endpoints. */
import { z } from 'zod'
import { crashReportSchema, MAX_REPORTS_PER_HOST } from '@eelgrassmux/routing/quarantine/crashReport'
import { fingerprintSchema } from '@eelgrassmux/schema/quarantineEntry'
import { defineUnary } from '../RpcMethod.js'

const MAX_NAME_LENGTH = 256

export const reportCrashesRequestSchema = z.strictObject({
  host: z.string().max(MAX_NAME_LENGTH),
  /** All that the host holds, told before or not: the same report again changes nothing. */
  losses: z.array(crashReportSchema).max(MAX_REPORTS_PER_HOST),
  /** Suspected, quarantined and released requests that completed. */
  completed: z.array(fingerprintSchema).max(MAX_REPORTS_PER_HOST)
})

export const reportCrashesResponseSchema = z.strictObject({
  /** False on a control host that does not lead; nothing was noted then. */
  isTaken: z.boolean()
})

export const reportCrashes = defineUnary('/eelgrassmux.Control/ReportCrashes', reportCrashesRequestSchema, reportCrashesResponseSchema)

export type ReportCrashesRequest = z.infer<typeof reportCrashesRequestSchema>
export type ReportCrashesResponse = z.infer<typeof reportCrashesResponseSchema>
