/** Methods that directory hosts serve. */
import { z } from 'zod'
import { defineUnary } from '../RpcMethod.js'

const count = z.number().int().min(0)
const keys = z.array(z.string())
const tierSchema = z.enum(['memory', 'disk'])

export const storedObjectSchema = z.strictObject({
  name: z.string(),
  store: z.string(),
  customer: z.string(),
  keys,
  bytes: count,
  sha256: z.string(),
  tier: tierSchema,
  tokens: count,
  firstBlock: count
})

/** Every request carries the shard epoch that the sender knows; the directory rejects a request with any other epoch. */
const shardHeader = { shard: count, epoch: count }

const wrongOwner = z.strictObject({ kind: z.literal('wrong-owner') })

export const lookupRequestSchema = z.strictObject({ ...shardHeader, keys })

export const lookupResponseSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('found'),
    resident: z.array(z.strictObject({ engine: z.string(), blocks: count })),
    stored: z.array(z.strictObject({ object: storedObjectSchema, coversTo: count }))
  }),
  wrongOwner
])

export const leaseRequestSchema = z.strictObject({ ...shardHeader, keys, fromBlock: count })

export const leaseResponseSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('leased'),
    leases: z.array(z.strictObject({ leaseId: z.string(), object: storedObjectSchema, durationMs: z.number() }))
  }),
  wrongOwner
])

export const reserveRequestSchema = z.strictObject({
  ...shardHeader, customer: z.string(), store: z.string(), keys, tokensPerBlock: count
})

export const reserveResponseSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('reserved'), name: z.string(), keys, tokens: count, firstBlock: count }),
  z.strictObject({ kind: z.literal('nothing-to-write') }),
  wrongOwner
])

export const publishRequestSchema = z.strictObject({
  ...shardHeader, name: z.string(), bytes: count, sha256: z.string(), tier: tierSchema
})

export const publishResponseSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('published') }),
  z.strictObject({ kind: z.literal('lapsed') }),
  wrongOwner
])

export const abandonRequestSchema = z.strictObject({ ...shardHeader, name: z.string() })

export const lookupBlocks = defineUnary('/eelgrassmux.Directory/Lookup', lookupRequestSchema, lookupResponseSchema)
export const leaseObjects = defineUnary('/eelgrassmux.Directory/Lease', leaseRequestSchema, leaseResponseSchema)
export const reserveWrite = defineUnary('/eelgrassmux.Directory/Reserve', reserveRequestSchema, reserveResponseSchema)
export const publishWrite = defineUnary('/eelgrassmux.Directory/Publish', publishRequestSchema, publishResponseSchema)
export const abandonWrite = defineUnary('/eelgrassmux.Directory/Abandon', abandonRequestSchema, z.strictObject({}))

export type LookupResponse = z.infer<typeof lookupResponseSchema>
export type LeaseResponse = z.infer<typeof leaseResponseSchema>
