/** Methods by which entry hosts report to the leading control host the requests that were lost when endpoints crashed. */
import { z } from 'zod'
import { crashReportSchema, MAX_REPORTS_PER_HOST } from '@eelgrassmux/routing/quarantine/crashReport'
import { fingerprintSchema } from '@eelgrassmux/schema/quarantineEntry'
import { defineUnary } from '../RpcMethod.js'

const MAX_NAME_LENGTH = 256

export const reportCrashesRequestSchema = z.strictObject({
  host: z.string().max(MAX_NAME_LENGTH),
  /** All losses that the host remembers, including those that it has reported before; reports are idempotent. */
  losses: z.array(crashReportSchema).max(MAX_REPORTS_PER_HOST),
  /** Fingerprints of suspected, quarantined and released requests that completed. */
  completed: z.array(fingerprintSchema).max(MAX_REPORTS_PER_HOST)
})

export const reportCrashesResponseSchema = z.strictObject({
  /** False if the control host is not the leader; it has then recorded nothing. */
  isTaken: z.boolean()
})

export const reportCrashes = defineUnary('/eelgrassmux.Control/ReportCrashes', reportCrashesRequestSchema, reportCrashesResponseSchema)

export type ReportCrashesRequest = z.infer<typeof reportCrashesRequestSchema>
export type ReportCrashesResponse = z.infer<typeof reportCrashesResponseSchema>
