/** What entry hosts tell of the work that they have under way at endpoints. */
import { z } from 'zod'

const count = z.number().min(0)

/** Work of one or all hosts at one endpoint. */
export const endpointWorkSchema = z.strictObject({
  endpoint: z.string(),
  /** Requests sent and not answered whole. */
  inFlight: count,
  /** Prompt tokens to be read before the first events of those requests. */
  pendingTokens: count,
  /** Tokens that those requests hold, or will hold, in the endpoint's memory. */
  heldTokens: count
})

/** One host's own work, and the answer with the work of all. */
export const loadReportSchema = z.strictObject({
  host: z.string(),
  /** Rises with each report; an answer names the report that it answers. */
  sequence: z.number().int().min(0),
  work: z.array(endpointWorkSchema)
})

export type EndpointWork = z.infer<typeof endpointWorkSchema>
export type LoadReport = z.infer<typeof loadReportSchema>
