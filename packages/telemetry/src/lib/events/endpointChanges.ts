import { z } from 'zod'

const ejection = z.strictObject({
  endpoint: z.string(),
  address: z.string(),
  /** Empty if the endpoint is readmitted. */
  reason: z.string(),
  othersInFlight: z.number(),
  lastByteAgoMs: z.number(),
  waitedMs: z.number(),
  avoiders: z.number(),
  failureShare: z.number(),
  meanShare: z.number()
})

const rateLimit = z.strictObject({ endpoint: z.string(), address: z.string(), sentLately: z.number() })

/** Changes of an entry host's view of endpoints. */
export const endpointChanges = {
  /** This host hears from no endpoint of the service, and fails to reach some that others hear from. */
  'new-connections-fail': z.strictObject({ service: z.string(), endpoints: z.number(), lostEndpoints: z.number(), heardByOthers: z.number() }),
  'new-connections-work': z.strictObject({ service: z.string(), failedForMs: z.number() }),
  'service-out-of-reach': z.strictObject({ service: z.string(), endpoints: z.number(), lostEndpoints: z.number(), heardByOthers: z.number(), heardAgoMs: z.number() }),
  'service-in-reach': z.strictObject({ service: z.string(), cutForMs: z.number() }),
  'idle-connections-doubted': z.strictObject({ service: z.string(), endpoint: z.string(), silentEndpoints: z.number(), silentForMs: z.number(), closed: z.number() }),
  /** The responses of an endpoint came faster than its slice of the event loop allows; at most one line in ten seconds for each. */
  'endpoint-reads-paused': z.strictObject({ address: z.string(), bytes: z.number(), paused: z.number() }),
  'endpoint-paused': z.strictObject({ endpoint: z.string(), address: z.string(), outcome: z.string(), failureShare: z.number(), peersShare: z.number() }),
  'endpoint-ejected': ejection,
  'endpoint-readmitted': ejection,
  /** The endpoint's responses state a request rate that all hosts together may not exceed. */
  'endpoint-rate-limited': rateLimit.extend({ requestsPerSecond: z.number() }),
  'endpoint-rate-limit-lifted': rateLimit,
  /** The endpoint's response states how many rejections a second it tolerates before it fails; -1 if it does not any more. */
  'endpoint-brittle': z.strictObject({ endpoint: z.string(), address: z.string(), rejectionsPerSecond: z.number() }),
  /** The endpoint's response says that it is about to shut down, before the endpoint list does. */
  'endpoint-leaving': z.strictObject({ endpoint: z.string(), address: z.string(), underWay: z.number() }),
  /** The endpoint rejected a request and asked this host to send no more for a while. */
  'endpoint-asked-to-pause': z.strictObject({ endpoint: z.string(), address: z.string(), pauseMs: z.number(), sentLately: z.number() }),
  /** The endpoint ended or rejected a request with many bytes in transit, and the host keeps to fewer for its service. */
  'transit-bound-learnt': z.strictObject({ endpoint: z.string(), service: z.string(), bytesUnderWay: z.number(), boundBytes: z.number() })
}
