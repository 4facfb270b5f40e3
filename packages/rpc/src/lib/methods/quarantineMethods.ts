/** Methods by which entry hosts tell the leading control host of requests that were lost with endpoints. */
import { z } from 'zod'
import { endReportSchema, MOST_REPORTS_OF_HOST } from '@eelgrassmux/routing/quarantine/endReport'
import { fingerprintSchema } from '@eelgrassmux/schema/requestVerdict'
import { defineUnary } from '../RpcMethod.js'

const LONGEST_NAME = 256

export const reportEndsRequestSchema = z.strictObject({
  host: z.string().max(LONGEST_NAME),
  /** All that the host holds, told before or not: the same report again changes nothing. */
  ends: z.array(endReportSchema).max(MOST_REPORTS_OF_HOST),
  /** Requests with a verdict that came through whole. */
  cameThrough: z.array(fingerprintSchema).max(MOST_REPORTS_OF_HOST)
})

export const reportEndsResponseSchema = z.strictObject({
  /** False on a control host that does not lead; nothing was noted then. */
  isTaken: z.boolean()
})

export const reportEnds = defineUnary('/eelgrassmux.Control/ReportEnds', reportEndsRequestSchema, reportEndsResponseSchema)

export type ReportEndsRequest = z.infer<typeof reportEndsRequestSchema>
export type ReportEndsResponse = z.infer<typeof reportEndsResponseSchema>
