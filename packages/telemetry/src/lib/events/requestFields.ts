import { z } from 'zod'

/** Fields that every decision about a request may have in addition to those of its event. */
export const requestFields = z.strictObject({
  route: z.string().optional(),
  service: z.string().optional(),
  /** Version of the site that the decision is based on; -1 if none was known. */
  siteVersion: z.number().optional(),
  /** Milliseconds since the head of the request was read; set at the end of the request. */
  elapsedMs: z.number().optional(),
  /** Number of endpoints that the request was sent to. */
  sends: z.number().optional(),
  /** Number of endpoints on which the request ran or may have run. */
  runs: z.number().optional()
})
