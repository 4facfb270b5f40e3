/** Commands that the agreed log carries, their results, and the state they build. */
import { z } from 'zod'
import { bytesSchema } from '@eelgrassmux/schema/bytesSchema'
import { documentSchema } from '@eelgrassmux/schema/configuration'
import { dataCentreNameSchema, evacuationSchema } from '@eelgrassmux/schema/site/evacuation'
import { quarantineDecisionSchema, quarantineEntrySchema } from '@eelgrassmux/schema/quarantineEntry'
import { siteSchema } from '@eelgrassmux/schema/site/siteSchema'
import { renameFormerCommand, renameFormerImage } from './readFormerNames.js'

const id = z.string().min(1).max(200)
const count = z.number().int().min(0)

/** Names an at-most-once request. The customer is part of it, so customers can't meet each other's records. */
export const recordKeySchema = z.strictObject({ customer: id, service: id, idempotencyKey: id })

/** An endpoint's answer, kept for repeats of the same key. */
export const storedAnswerSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  body: bytesSchema
})

/** Names a configuration document. */
export const documentNameSchema = z.strictObject({ kind: id, name: id })

/** The control host that gives orders to engines, and the term in which it leads. */
export const orderHolderSchema = z.strictObject({ replicaId: id, term: count })

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
    /** Time after which a claim without an outcome is answered as unknown. */
    deadlineAt: z.number()
  }),
  z.strictObject({ kind: z.literal('complete'), record: recordKeySchema, claimId: id, answer: storedAnswerSchema }),
  z.strictObject({ kind: z.literal('release'), record: recordKeySchema, claimId: id }),
  z.strictObject({ kind: z.literal('expire') }),
  z.strictObject({
    kind: z.literal('put-site'),
    site: siteSchema,
    /** The document as its operator wrote it. */
    source: bytesSchema
  }),
  /** Weights that all engines of a model should run; only a higher version changes anything. */
  z.strictObject({ kind: z.literal('name-weights'), model: id, version: count }),
  /** The leader of a term takes over giving orders to engines. */
  z.strictObject({ kind: z.literal('claim-orders'), holder: orderHolderSchema }),
  /** Which requests are kept from endpoints. */
  z.strictObject({ kind: z.literal('change-quarantine'), decisions: z.array(quarantineDecisionSchema) }),
  z.strictObject({ kind: z.literal('expire-quarantine') }),
  /** An operator's order to send nothing more to a data centre's endpoints, or to do so again. */
  z.strictObject({
    kind: z.literal('order-evacuation'),
    dataCentre: dataCentreNameSchema,
    isEvacuated: z.boolean(),
    /** Revision of the evacuations that the proposer knew: an order that a newer one has overtaken changes nothing. */
    knownRevision: count
  })
])

/** A command with the proposing leader's wall clock, which the state clamps to never go back. */
export const stampedCommandSchema = z.strictObject({ stampedAt: z.number(), command: z.preprocess(renameFormerCommand, commandSchema) })

export const shardSchema = z.strictObject({ owner: z.string(), epoch: count })

export const claimResultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('claimed') }),
  z.strictObject({ kind: z.literal('in-progress'), deadlineAt: z.number() }),
  z.strictObject({ kind: z.literal('answered'), answer: storedAnswerSchema }),
  z.strictObject({ kind: z.literal('outcome-unknown') }),
  z.strictObject({ kind: z.literal('body-differs') }),
  /** The proposer gave this claim up before it was applied. */
  z.strictObject({ kind: z.literal('released') })
])

export const commandResultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('accepted'), revision: count }),
  z.strictObject({ kind: z.literal('revision-conflict'), revision: count }),
  z.strictObject({ kind: z.literal('invalid'), message: z.string() }),
  z.strictObject({ kind: z.literal('claim'), result: claimResultSchema }),
  /** The version now in force, which is at least the one proposed. */
  z.strictObject({ kind: z.literal('site-accepted'), version: count }),
  z.strictObject({ kind: z.literal('done') }),
  z.strictObject({ kind: z.literal('no-such-claim') })
])

export type DocumentName = z.infer<typeof documentNameSchema>
export type RecordKey = z.infer<typeof recordKeySchema>
export type StoredAnswer = z.infer<typeof storedAnswerSchema>
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

const recordSchema = z.strictObject({
  key: recordKeySchema,
  bodySha256: id,
  claimId: id,
  deadlineAt: z.number(),
  claimedAt: z.number(),
  answer: storedAnswerSchema.optional()
})

const siteImageSchema = z.object({
  put: z.strictObject({ site: siteSchema, source: bytesSchema }).optional(),
  weights: z.array(desiredWeightsSchema),
  orderHolder: orderHolderSchema.optional()
})

export const evacuationImageSchema = z.strictObject({ revision: count, orders: z.array(evacuationSchema) })

/** Image of the whole state, for snapshots. */
export const stateImageSchema = z.preprocess(renameFormerImage, z.strictObject({
  clock: z.number(),
  revision: count,
  viewRevision: count,
  documents: z.array(documentSchema),
  shards: z.array(shardSchema),
  requests: z.array(z.strictObject({ requestId: id, result: commandResultSchema })),
  records: z.array(recordSchema),
  releasedClaims: z.array(z.strictObject({ claimId: id, releasedAt: z.number() })),
  /** Absent in snapshots written before there were sites. */
  site: siteImageSchema.default({ weights: [] }),
  /** Absent in snapshots written before there was a quarantine. */
  quarantine: z.array(quarantineEntrySchema).default([]),
  /** Absent in snapshots written before there were evacuations. */
  evacuations: evacuationImageSchema.default({ revision: 0, orders: [] })
}))

export type SiteImage = { [Field in keyof z.infer<typeof siteImageSchema>]: z.infer<typeof siteImageSchema>[Field] }
export type EvacuationImage = z.infer<typeof evacuationImageSchema>
export type StateImage = z.infer<typeof stateImageSchema>
export type ConfirmationRecord = z.infer<typeof recordSchema>
