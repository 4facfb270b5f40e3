/**
 * A site: everything that operators put in force as a whole under one version
 * number. Routes lead requests to services; customers hold the keys.
 *
 * Durations are in milliseconds. Unlike the documents of a configuration, which
 * change one by one, a site is replaced whole, and the highest version wins.
 */
import { z } from 'zod'

const name = z.string().min(1).max(200)
const positive = z.number().positive()

/** What may be repeated: safe requests may run more than once, unsafe ones once at most, streams once unless resumable. */
export const routeKindSchema = z.enum(['safe', 'unsafe', 'stream'])

/** One share of a route's traffic. */
export const routeTargetSchema = z.strictObject({ service: name, weight: z.number().min(0) })

/** Leads requests of one host and path prefix to services. */
export const routeSchema = z.strictObject({
  name,
  host: z.string(),
  /** Begins and ends with a slash; the longest that begins the path wins. */
  pathPrefix: z.string(),
  kind: routeKindSchema,
  /** Whether a broken stream may go on at another endpoint behind its last event. */
  isResumable: z.boolean(),
  /** Most endpoints on which one request may run. */
  attempts: z.number().int().min(1),
  timeoutMs: positive,
  /** An answer within this time is on time; for streams, its first event. */
  targetLatencyMs: positive,
  /** Rank of its requests; 0 is the most urgent. */
  priority: z.number().int().min(0),
  /** Whether requests need no key. */
  isPublic: z.boolean(),
  /** Whether requests state their prompt's parts, so that returning to the same engine saves work. */
  keepsPrompts: z.boolean(),
  /** Longest pause between events of a stream that is still on time; 0 where none is stated. */
  longestPauseMs: z.number().min(0),
  targets: z.array(routeTargetSchema).min(1),
  /** Regions in which its requests have to stay; absent or empty if they may go anywhere. */
  allowedRegions: z.array(name).optional()
})

/** What the engines of a model service can do. */
export const engineTraitsSchema = z.strictObject({
  slots: z.number().int().min(1),
  cacheTokens: z.number().min(0),
  bytesPerToken: z.number().min(0),
  linkMbps: z.number().min(0),
  models: z.array(name)
})

/** A service that routes lead to, or a store of kept prompts. */
export const siteServiceSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('replicated'),
    name,
    /** Connections that one endpoint takes from all callers together; 0 if it states none. */
    connectionsPerEndpoint: z.number().int().min(0),
    healthPath: z.string(),
    /** Requests a second that one of its endpoints takes from all hosts together while it is cold; absent if it states none. */
    coldRequestsPerSecond: positive.optional(),
    /** Set for services of model engines. */
    engine: engineTraitsSchema.optional()
  }),
  z.strictObject({
    type: z.literal('store'),
    name,
    address: z.string(),
    dataCentre: z.string(),
    cacheTokens: z.number().min(0),
    linkMbps: z.number().min(0),
    /** Wait before the first byte of each transfer. */
    firstByteMs: z.number().min(0),
    /** Whether the store drops nothing by itself. */
    isManaged: z.boolean()
  })
])

/** Whoever pays for requests; its keys say who asks. */
export const siteCustomerSchema = z.strictObject({
  name,
  keys: z.array(z.string().min(1)),
  /** Goes before the rank of the route. */
  priority: z.number().int().min(0).optional(),
  /** Shares no kept prompt with anybody else. */
  isIsolated: z.boolean(),
  /** Regions in which its requests have to stay; absent or empty if they may go anywhere. */
  allowedRegions: z.array(name).optional()
})

/** Bounds on what a caller may send, and how long it may take. */
export const callerLimitsSchema = z.strictObject({
  headerBytes: z.number().int().min(1),
  bodyBytes: z.number().int().min(0),
  headerTimeoutMs: positive,
  idleTimeoutMs: positive
})

/** A whole site. */
export const siteSchema = z.strictObject({
  version: z.number().int().min(0),
  routes: z.array(routeSchema),
  services: z.array(siteServiceSchema),
  /** Absent where requests need no key at all. */
  customers: z.array(siteCustomerSchema).optional(),
  limits: callerLimitsSchema
})

export type RouteKind = z.infer<typeof routeKindSchema>
export type RouteTarget = z.infer<typeof routeTargetSchema>
export type Route = z.infer<typeof routeSchema>
export type EngineTraits = z.infer<typeof engineTraitsSchema>
export type SiteService = z.infer<typeof siteServiceSchema>
export type ReplicatedService = Extract<SiteService, { type: 'replicated' }>
export type StoreService = Extract<SiteService, { type: 'store' }>
export type SiteCustomer = z.infer<typeof siteCustomerSchema>
export type CallerLimits = z.infer<typeof callerLimitsSchema>
export type Site = z.infer<typeof siteSchema>
