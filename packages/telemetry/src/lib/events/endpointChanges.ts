import { z } from 'zod'

const ejection = z.strictObject({
  endpoint: z.string(),
  address: z.string(),
  /** Empty when it is readmitted. */
  reason: z.string(),
  othersInFlight: z.number(),
  lastByteAgoMs: z.number(),
  waitedMs: z.number(),
  avoiders: z.number(),
  failureShare: z.number(),
  meanShare: z.number()
})

const rateLimit = z.strictObject({ endpoint: z.string(), address: z.string(), sentLately: z.number() })

/** What an entry host believes of endpoints. */
export const endpointChanges = {
  'endpoint-paused': z.strictObject({ endpoint: z.string(), address: z.string(), outcome: z.string(), failureShare: z.number(), peersShare: z.number() }),
  'endpoint-ejected': ejection,
  'endpoint-readmitted': ejection,
  /** It names a rate in its answers that all hosts together may send. */
  'endpoint-rate-limited': rateLimit.extend({ requestsPerSecond: z.number() }),
  'endpoint-rate-limit-lifted': rateLimit,
  /** It says in an answer that it is about to end, before the list does. */
  'endpoint-leaving': z.strictObject({ endpoint: z.string(), address: z.string(), underWay: z.number() }),
  /** It rejected a request and wants nothing from this host for a while. */
  'endpoint-asked-to-pause': z.strictObject({ endpoint: z.string(), address: z.string(), pauseMs: z.number(), sentLately: z.number() })
}
