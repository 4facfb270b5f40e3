/** Commands in the replicated log, their results, and the snapshot format of the state that they produce. */
import { z } from 'zod'
import { bytesSchema } from '@eelgrassmux/schema/bytesSchema'
import { documentSchema } from '@eelgrassmux/schema/configuration'
import { dataCentreNameSchema, evacuationSchema } from '@eelgrassmux/schema/site/evacuation'
import { quarantineDecisionSchema, quarantineEntrySchema } from '@eelgrassmux/schema/quarantineEntry'
import { siteSchema } from '@eelgrassmux/schema/site/siteSchema'
import { migrateLegacyCommand, migrateLegacyImage } from './migrateLegacyNames.js'

const id = z.string().min(1).max(200)
const count = z.number().int().min(0)

/** Identifies an at-most-once request. It includes the customer, so that customers cannot access each other's records. */
export const recordKeySchema = z.strictObject({ customer: id, service: id, idempotencyKey: id })

/** Response of an endpoint, stored to be returned for later requests with the same key. */
export const storedResponseSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  body: bytesSchema
})

/** Identifies a configuration document. */
export const documentNameSchema = z.strictObject({ kind: id, name: id })

/** The control host that may send orders to engines, and the term in which it is leader. */
export const orderHolderSchema = z.strictObject({ replicaId: id, term: count })

/** Version of the weights that all engines of a model should run. */
export const desiredWeightsSchema = z.strictObject({ model: id, version: count })

export const commandSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('change-configuration'),
    requestId: id,
    expectedRevision: count.optional(),
    upserts: z.array(documentSchema),
    removes: z.array(documentNameSchema)
  }),
  z.strictObject({
    kind: z.literal('assign-shards'),
    /** Directory addresses in shard order; an empty string leaves a shard without an owner. */
    owners: z.array(z.string())
  }),
  z.strictObject({
    kind: z.literal('claim'),
    record: recordKeySchema,
    bodySha256: id,
    claimId: id,
    /** Time after which a claim that is still incomplete yields `outcome-unknown`. */
    deadlineAt: z.number()
  }),
  z.strictObject({ kind: z.literal('complete'), record: recordKeySchema, claimId: id, answer: storedResponseSchema }),
  z.strictObject({ kind: z.literal('release'), record: recordKeySchema, claimId: id }),
  z.strictObject({ kind: z.literal('expire') }),
  z.strictObject({
    kind: z.literal('put-site'),
    site: siteSchema,
    /** The document exactly as the operator sent it. */
    source: bytesSchema
  }),
  /** Sets the weights that all engines of a model should run; ignored unless the version is higher than the current one. */
  z.strictObject({ kind: z.literal('name-weights'), model: id, version: count }),
  /** Gives the leader of a term the exclusive right to send orders to engines. */
  z.strictObject({ kind: z.literal('claim-orders'), holder: orderHolderSchema }),
  /** Changes which requests are not sent to endpoints. */
  z.strictObject({ kind: z.literal('change-quarantine'), decisions: z.array(quarantineDecisionSchema) }),
  z.strictObject({ kind: z.literal('expire-quarantine') }),
  /** An operator's order to stop sending requests to the endpoints of a data centre, or to resume. */
  z.strictObject({
    kind: z.literal('order-evacuation'),
    dataCentre: dataCentreNameSchema,
    isEvacuated: z.boolean(),
    /** Revision of the evacuations known to the proposer; the order is rejected if a newer order for the same data centre was applied in the meantime. */
    knownRevision: count
  })
])

/** A command with the wall clock of the proposing leader; the state machine never lets its clock go back. */
export const stampedCommandSchema = z.strictObject({ stampedAt: z.number(), command: z.preprocess(migrateLegacyCommand, commandSchema) })

export const shardSchema = z.strictObject({ owner: z.string(), epoch: count })

export const claimResultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('claimed') }),
  z.strictObject({ kind: z.literal('in-progress'), deadlineAt: z.number() }),
  z.strictObject({ kind: z.literal('answered'), answer: storedResponseSchema }),
  z.strictObject({ kind: z.literal('outcome-unknown') }),
  z.strictObject({ kind: z.literal('body-differs') }),
  /** The proposer released this claim before it was applied. */
  z.strictObject({ kind: z.literal('released') })
])

export const commandResultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('accepted'), revision: count }),
  z.strictObject({ kind: z.literal('revision-conflict'), revision: count }),
  z.strictObject({ kind: z.literal('invalid'), message: z.string() }),
  z.strictObject({ kind: z.literal('claim'), result: claimResultSchema }),
  /** The version now in force, which is at least the proposed one. */
  z.strictObject({ kind: z.literal('site-accepted'), version: count }),
  z.strictObject({ kind: z.literal('done') }),
  z.strictObject({ kind: z.literal('no-such-claim') })
])

export type DocumentName = z.infer<typeof documentNameSchema>
export type RecordKey = z.infer<typeof recordKeySchema>
export type StoredResponse = z.infer<typeof storedResponseSchema>
export type Command = z.infer<typeof commandSchema>
export type ClaimCommand = Extract<Command, { kind: 'claim' }>
export type ChangeCommand = Extract<Command, { kind: 'change-configuration' }>
export type PutSiteCommand = Extract<Command, { kind: 'put-site' }>
export type NameWeightsCommand = Extract<Command, { kind: 'name-weights' }>
export type EvacuationCommand = Extract<Command, { kind: 'order-evacuation' }>
export type OrderHolder = z.infer<typeof orderHolderSchema>
export type DesiredWeights = z.infer<typeof desiredWeightsSchema>
export type StampedCommand = z.infer<typeof stampedCommandSchema>
export type Shard = z.infer<typeof shardSchema>
export type ClaimResult = z.infer<typeof claimResultSchema>
export type CommandResult = z.infer<typeof commandResultSchema>

const atMostOnceRecordSchema = z.strictObject({
  key: recordKeySchema,
  bodySha256: id,
  claimId: id,
  deadlineAt: z.number(),
  claimedAt: z.number(),
  answer: storedResponseSchema.optional()
})

const siteImageSchema = z.object({
  put: z.strictObject({ site: siteSchema, source: bytesSchema }).optional(),
  weights: z.array(desiredWeightsSchema),
  orderHolder: orderHolderSchema.optional()
})

export const evacuationImageSchema = z.strictObject({ revision: count, orders: z.array(evacuationSchema) })

/** Snapshot format of the whole state. */
export const stateImageSchema = z.preprocess(migrateLegacyImage, z.strictObject({
  clock: z.number(),
  revision: count,
  viewRevision: count,
  documents: z.array(documentSchema),
  shards: z.array(shardSchema),
  requests: z.array(z.strictObject({ requestId: id, result: commandResultSchema })),
  records: z.array(atMostOnceRecordSchema),
  releasedClaims: z.array(z.strictObject({ claimId: id, releasedAt: z.number() })),
  /** Absent in snapshots of releases without sites. */
  site: siteImageSchema.default({ weights: [] }),
  /** Absent in snapshots of releases without a quarantine. */
  quarantine: z.array(quarantineEntrySchema).default([]),
  /** Absent in snapshots of releases without evacuations. */
  evacuations: evacuationImageSchema.default({ revision: 0, orders: [] })
}))

export type SiteImage = { [Field in keyof z.infer<typeof siteImageSchema>]: z.infer<typeof siteImageSchema>[Field] }
export type EvacuationImage = z.infer<typeof evacuationImageSchema>
export type StateImage = z.infer<typeof stateImageSchema>
export type AtMostOnceRecord = z.infer<typeof atMostOnceRecordSchema>
