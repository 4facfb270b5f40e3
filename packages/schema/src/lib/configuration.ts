/** Schemas of the configuration documents that operators write. The types are inferred from the schemas. */
import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use lower-case letters, digits and dashes, 63 at most')
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'write an IP number and a port, such as 10.0.0.5:8000')
const weight = z.number().min(0).max(1000)

/** How requests of a class are placed, cached and retried. Durations are in milliseconds. */
export const profileSchema = z.strictObject({
  kind: z.literal('profile'),
  name,
  weights: z.strictObject({
    /** Cost of one millisecond to the first token. */
    firstTokenMillisecond: weight,
    /** Cost of one recomputed token. */
    recomputedToken: weight,
    /** Cost of one kilobyte on a store's link. */
    linkKilobyte: weight
  }),
  deadlineMs: z.number().int().min(50).max(3_600_000),
  /** Highest estimated time to first token at which a request is admitted. */
  firstTokenLimitMs: z.number().int().min(10).max(600_000),
  keep: z.enum(['never', 'by-value', 'always']),
  /** Fraction of prompts of this class expected to return, 0 to 1. */
  returnChance: z.number().min(0).max(1),
  expectedGapSeconds: z.number().min(1).max(2_592_000),
  retries: z.number().int().min(0).max(10),
  /** Time without a first token after which a second engine is tried; 0 disables hedging. */
  hedgeAfterMs: z.number().int().min(0).max(600_000),
  priority: z.number().int().min(0).max(9)
})

/** A service that callers address by name. */
export const serviceSchema = z.discriminatedUnion('type', [
  z.strictObject({ kind: z.literal('service'), type: z.literal('model'), name, model: name, profile: name }),
  z.strictObject({
    kind: z.literal('service'),
    type: z.literal('plain'),
    name,
    profile: name,
    /** Whether calls other than GET and HEAD may run at most once and therefore require an Idempotency-Key. */
    atMostOnce: z.boolean()
  })
])

/** A customer. Only the SHA-256 of the credential is stored. */
export const customerSchema = z.strictObject({
  kind: z.literal('customer'),
  name,
  credentialSha256: z.string().regex(/^[0-9a-f]{64}$/, 'write the SHA-256 of the credential as 64 hex digits'),
  cacheSecret: z.string().min(16).max(200),
  /** Relative share of the fleet under contention. */
  share: z.number().min(0.01).max(1000)
})

/** A model and the weight version that engines should run. */
export const modelSchema = z.strictObject({
  kind: z.literal('model'),
  name,
  version: name,
  /** Number of engines that must remain available while others load weights. */
  servingFloor: z.number().int().min(0).max(10_000)
})

/** A back end. */
export const endpointSchema = z.discriminatedUnion('type', [
  z.strictObject({
    kind: z.literal('endpoint'),
    type: z.literal('engine'),
    name,
    address,
    dataCentre: name,
    model: name,
    honoursFencing: z.boolean()
  }),
  z.strictObject({ kind: z.literal('endpoint'), type: z.literal('plain'), name, address, dataCentre: name, service: name })
])

/** A KV cache store. */
export const storeSchema = z.strictObject({
  kind: z.literal('store'),
  name,
  address,
  dataCentre: name,
  linkBytesPerSecond: z.number().int().min(1)
})

/** One document of a configuration. */
export const documentSchema = z.union([
  profileSchema, serviceSchema, customerSchema, modelSchema, endpointSchema, storeSchema
])

export type Profile = z.infer<typeof profileSchema>
export type Service = z.infer<typeof serviceSchema>
export type Customer = z.infer<typeof customerSchema>
export type Model = z.infer<typeof modelSchema>
export type Endpoint = z.infer<typeof endpointSchema>
export type EngineEndpoint = Extract<Endpoint, { type: 'engine' }>
export type PlainEndpoint = Extract<Endpoint, { type: 'plain' }>
export type Store = z.infer<typeof storeSchema>
export type ConfigurationDocument = z.infer<typeof documentSchema>

/** A complete configuration: all documents that are in effect together. */
export const configurationSchema = z.strictObject({ documents: z.array(documentSchema).max(200_000) })
export type Configuration = z.infer<typeof configurationSchema>
