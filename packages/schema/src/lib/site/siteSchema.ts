/**
 * A site: everything that operators deploy together under one version number.
 * Routes direct requests to services, and customers have the keys that requests carry.
 *
 * Durations are in milliseconds. The documents of a configuration can change
 * individually, whereas a site is replaced as a whole, and the highest version wins.
 */
import { z } from 'zod'

const name = z.string().min(1).max(200)
const positive = z.number().positive()

/** How often a request may run: safe requests more than once, unsafe requests at most once, streams once unless resumable. */
export const routeKindSchema = z.enum(['safe', 'unsafe', 'stream'])

/** A service that gets a share of a route's traffic. */
export const routeTargetSchema = z.strictObject({ service: name, weight: z.number().min(0) })

/** Directs requests for one host and path prefix to services. */
export const routeSchema = z.strictObject({
  name,
  host: z.string(),
  /** Begins and ends with a slash. The longest matching prefix wins. */
  pathPrefix: z.string(),
  kind: routeKindSchema,
  /** Whether an interrupted stream may continue at another endpoint after its last event. */
  isResumable: z.boolean(),
  /** Most endpoints on which one request may run. */
  attempts: z.number().int().min(1),
  timeoutMs: positive,
  /** Time within which an answer, or the first event of a stream, is on time. */
  targetLatencyMs: positive,
  /** Priority of the route's requests; 0 is the most urgent. */
  priority: z.number().int().min(0),
  /** Whether requests need no key. */
  isPublic: z.boolean(),
  /** Whether requests state the parts of their prompt, so that an engine can reuse parts that it holds. */
  keepsPrompts: z.boolean(),
  /** Longest pause between events of a stream that counts as on time; 0 if there is no limit. */
  longestPauseMs: z.number().min(0),
  targets: z.array(routeTargetSchema).min(1),
  /** Regions that the route's requests must not leave; absent or empty if there is no restriction. */
  allowedRegions: z.array(name).optional()
})

/** Capabilities of the engines of a model service. */
export const engineTraitsSchema = z.strictObject({
  slots: z.number().int().min(1),
  cacheTokens: z.number().min(0),
  bytesPerToken: z.number().min(0),
  linkMbps: z.number().min(0),
  models: z.array(name),
  /** Longest reservation of a slot and memory that the engines grant, in milliseconds; absent if they grant none. */
  reservationMs: positive.optional()
})

/** A service that routes lead to, or a store of cached prompts. */
export const siteServiceSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('replicated'),
    name,
    /** Connections that one endpoint accepts from all callers together; 0 if no limit is stated. */
    connectionsPerEndpoint: z.number().int().min(0),
    healthPath: z.string(),
    /** Requests per second that a cold endpoint accepts from all hosts together; absent if no limit is stated. */
    coldRequestsPerSecond: positive.optional(),
    /** Present only for services of model engines. */
    engine: engineTraitsSchema.optional()
  }),
  z.strictObject({
    type: z.literal('store'),
    name,
    address: z.string(),
    dataCentre: z.string(),
    cacheTokens: z.number().min(0),
    linkMbps: z.number().min(0),
    /** Latency to the first byte of each transfer. */
    firstByteMs: z.number().min(0),
    /** Whether the store evicts nothing by itself. */
    isManaged: z.boolean()
  })
])

/** A customer, identified by the key that a request carries. */
export const siteCustomerSchema = z.strictObject({
  name,
  keys: z.array(z.string().min(1)),
  /** Takes precedence over the priority of the route. */
  priority: z.number().int().min(0).optional(),
  /** Whether the customer's cached prompts are shared with no other customer. */
  isIsolated: z.boolean(),
  /** Regions that the customer's requests must not leave; absent or empty if there is no restriction. */
  allowedRegions: z.array(name).optional()
})

/** Limits on the size of requests and the time that callers may take to send them. */
export const callerLimitsSchema = z.strictObject({
  headerBytes: z.number().int().min(1),
  bodyBytes: z.number().int().min(0),
  headerTimeoutMs: positive,
  idleTimeoutMs: positive
})

/** A complete site. */
export const siteSchema = z.strictObject({
  version: z.number().int().min(0),
  routes: z.array(routeSchema),
  services: z.array(siteServiceSchema),
  /** Absent if no request needs a key. */
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
