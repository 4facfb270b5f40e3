import { z } from 'zod'

/** What any decision about a request may state besides the fields of its event. */
export const requestFields = z.strictObject({
  route: z.string().optional(),
  service: z.string().optional(),
  /** Version of the site that decided; -1 if none was known. */
  siteVersion: z.number().optional(),
  /** Milliseconds since the request's head was read; at its end. */
  elapsedMs: z.number().optional(),
  /** Endpoints that it was offered to. */
  sends: z.number().optional(),
  /** Endpoints on which it ran or may have run. */
  runs: z.number().optional()
})
