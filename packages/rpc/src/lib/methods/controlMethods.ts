/** Methods that control hosts serve. */
import { z } from 'zod'
import { documentSchema } from '@eelgrassmux/schema/configuration'
import { fingerprintSchema, quarantineEntryMessageSchema } from '@eelgrassmux/schema/quarantineEntry'
import { dataCentreNameSchema } from '@eelgrassmux/schema/site/evacuation'
import { listedEndpointSchema } from '@eelgrassmux/schema/site/listedEndpoint'
import { storedPartsMessageSchema } from '@eelgrassmux/schema/site/storedParts'
import { siteSchema } from '@eelgrassmux/schema/site/siteSchema'
import { membershipSchema, raftMessageSchema, replicaSchema } from '@eelgrassmux/consensus/messages/raftMessages'
import { bytesSchema } from '@eelgrassmux/schema/bytesSchema'
import { commandResultSchema, commandSchema, documentNameSchema, evacuationImageSchema, desiredWeightsSchema, shardSchema } from '@eelgrassmux/state/commands'
import { defineDatagram } from '../datagrams/DatagramMethod.js'
import { defineStream, defineUnary } from '../RpcMethod.js'

const count = z.number().int().min(0)
const emptySchema = z.strictObject({})

/** A Raft message with the address of its sender, for replicas that do not know each other yet. */
export const raftEnvelopeSchema = z.strictObject({ from: replicaSchema, to: z.string(), message: raftMessageSchema })

export const proposeResponseSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('applied'), result: commandResultSchema }),
  /** The command was not appended to the log. */
  z.strictObject({ kind: z.literal('not-leader'), leader: z.string() }),
  /** The command may still be applied later. */
  z.strictObject({ kind: z.literal('uncertain') })
])

/** Kind of process that a host runs. */
export const hostRoleSchema = z.enum(['entry', 'directory'])

/** Longest name or address accepted in a datagram, in characters; any sender can reach the port. The longest name of a data centre has a tenth of this length. */
const MAX_NAME_LENGTH = 256

const nameSchema = z.string().max(MAX_NAME_LENGTH)

/** Most features that a host may report. */
const MAX_REPORTED_FEATURES = 32

/** Features for hard load that a host has in use, and why. */
export const reportedFeaturesSchema = z.strictObject({ names: z.array(nameSchema).max(MAX_REPORTED_FEATURES), reason: nameSchema })

/** Status that a host reports about itself. */
export const hostStatusSchema = z.strictObject({
  host: nameSchema,
  role: hostRoleSchema,
  address: nameSchema,
  dataCentre: nameSchema,
  /** Revision of the view that the host uses. */
  viewRevision: count,
  /** False once the host is stopping; it is then assigned no new shards. */
  accepting: z.boolean(),
  /** Absent if no feature for hard load is in use. */
  loadFeatures: reportedFeaturesSchema.optional()
})

export const statusRequestSchema = hostStatusSchema.extend({
  /** Committed log index that the host knows a membership of; 0 or less if it knows none. */
  membershipIndex: z.int().min(-1),
  /** Whether the host notifies other entry hosts of its dispatches, and so needs their addresses. */
  wantsPeers: z.boolean()
})

/** Current versions of what a control host streams to its watchers, so that a watcher that receives no message can tell that it is up to date. */
export const watchedStateSchema = z.strictObject({
  /** Identifies this run of the process: versions start again after a restart. */
  incarnation: z.string(),
  /** Version of the endpoint list. */
  endpointList: count,
  /** Milliseconds since the platform last returned the list; -1 if it never has. */
  listAgeMs: z.number(),
  /** Number of changes of stored parts so far. */
  storedParts: count,
  /** Clock of stores and engines when the response was sent, in milliseconds; absent until one of them has reported it. */
  storeClockMs: z.number().optional()
})

export const statusResponseSchema = z.strictObject({
  replicaId: nameSchema,
  /** Absent if the host already knows the current membership. */
  membership: membershipSchema.optional(),
  /** Committed log index at which the membership is in force, the highest of which is the newest membership; 0 if the replica does not know that it is committed. */
  membershipIndex: count,
  /** Upper bound of the revisions of all views in this replica's log, committed or not. */
  newestView: count,
  /** Revision of the view that this replica has applied. */
  appliedView: count,
  /** Address of the leader that this replica follows; empty if it knows none. */
  leader: z.string(),
  /** Number of entry hosts that have reported recently; each gets an equal share of shared limits. */
  liveEntries: count,
  /** Peer addresses of the live entry hosts if the request has `wantsPeers`; empty when there are too many hosts to notify each other of every dispatch. */
  entryPeers: z.array(nameSchema),
  watched: watchedStateSchema
})

export const hostReportSchema = hostStatusSchema.extend({ ageMs: z.number() })

export const hostsResponseSchema = z.strictObject({
  replicaId: z.string(),
  voters: z.array(replicaSchema),
  learners: z.array(replicaSchema),
  leader: z.string(),
  term: count,
  commitIndex: count,
  viewRevision: count,
  revision: count,
  /** Uptime of the replica; it does not know hosts that last reported before it started. */
  uptimeMs: z.number(),
  hosts: z.array(hostReportSchema),
  /** Latest evacuation orders of data centres. */
  evacuations: evacuationImageSchema
})

export const viewMessageSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('snapshot'),
    viewRevision: count,
    revision: count,
    documents: z.array(documentSchema),
    shards: z.array(shardSchema),
    site: siteSchema.optional(),
    weights: z.array(desiredWeightsSchema),
    /** Data centres whose endpoints receive no new work; absent if there are none. */
    evacuated: z.array(dataCentreNameSchema).optional(),
    /** Absent if no requests are in quarantine. */
    quarantine: z.array(quarantineEntryMessageSchema).optional()
  }),
  z.strictObject({
    kind: z.literal('changes'),
    fromViewRevision: count,
    viewRevision: count,
    revision: count,
    upserts: z.array(documentSchema),
    removes: z.array(documentNameSchema),
    shards: z.array(shardSchema),
    /** Absent if the site has not changed. */
    site: siteSchema.optional(),
    weights: z.array(desiredWeightsSchema),
    /** All evacuated data centres, not only changes; absent if there are none. */
    evacuated: z.array(dataCentreNameSchema).optional(),
    /** New and changed entries; absent if there are none. */
    quarantine: z.array(quarantineEntryMessageSchema).optional(),
    /** Requests that were removed from the quarantine; absent if there are none. */
    quarantineRemoved: z.array(fingerprintSchema).optional()
  })
])

/** The endpoint list as a control host last read it, sent on each change. Between changes, status responses show that the version is the same. */
export const endpointListSchema = z.strictObject({
  incarnation: z.string(),
  version: count,
  /** Absent if the list is the same as in the previous message. */
  endpoints: z.array(listedEndpointSchema).optional(),
  /** Milliseconds since the platform last answered; -1 if it never has. */
  readAgeMs: z.number()
})

export const readSiteResponseSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('site'), version: count, source: bytesSchema }),
  /** No site has been accepted yet. */
  z.strictObject({ kind: z.literal('none') }),
  /** This replica could not confirm which site is the newest. */
  z.strictObject({ kind: z.literal('unconfirmed'), leader: z.string() })
])

export const membershipChangeSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('add-learner'), replica: replicaSchema }),
  z.strictObject({ kind: z.literal('promote'), id: z.string() }),
  z.strictObject({ kind: z.literal('remove'), id: z.string() }),
  z.strictObject({ kind: z.literal('transfer') })
])

export const membershipChangeResponseSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('done') }),
  z.strictObject({ kind: z.literal('not-leader'), leader: z.string() }),
  z.strictObject({ kind: z.literal('refused'), reason: z.string() })
])

export const orderReportSchema = z.strictObject({
  endpoint: z.string(),
  model: z.string(),
  runningVersion: z.string(),
  desiredVersion: z.string(),
  state: z.enum(['as-desired', 'waiting', 'loading', 'silent'])
})

/** Datagram kind of short Raft messages. */
const RAFT_KIND = 4

export const exchangeRaft = defineUnary('/eelgrassmux.Control/ExchangeRaft', raftEnvelopeSchema, emptySchema)
/** Sends a Raft message that may be lost and fits into a datagram; there is no response. */
export const sendRaftMessage = defineDatagram(RAFT_KIND, 'raft', raftEnvelopeSchema, emptySchema)
export const propose = defineUnary('/eelgrassmux.Control/Propose', z.strictObject({ command: commandSchema }), proposeResponseSchema)
/** Datagram kind of status reports; it must differ from those in `loadMethods`. */
const STATUS_KIND = 1

export const reportStatus = defineDatagram(STATUS_KIND, 'status', statusRequestSchema, statusResponseSchema)
export const listHosts = defineUnary('/eelgrassmux.Control/ListHosts', emptySchema, hostsResponseSchema)
export const listOrders = defineUnary('/eelgrassmux.Control/ListOrders', emptySchema, z.strictObject({ orders: z.array(orderReportSchema) }))
export const changeMembership = defineUnary('/eelgrassmux.Control/ChangeMembership', membershipChangeSchema, membershipChangeResponseSchema)
export const watchView = defineStream('/eelgrassmux.Control/WatchView', z.strictObject({ viewRevision: count }), viewMessageSchema)
export const watchEndpoints = defineStream('/eelgrassmux.Control/WatchEndpoints', emptySchema, endpointListSchema)
export const watchStoredParts = defineStream('/eelgrassmux.Control/WatchStoredParts', emptySchema, storedPartsMessageSchema)
export const readSite = defineUnary('/eelgrassmux.Control/ReadSite', emptySchema, readSiteResponseSchema)

export type RaftEnvelope = z.infer<typeof raftEnvelopeSchema>
export type ProposeResponse = z.infer<typeof proposeResponseSchema>
export type HostRole = z.infer<typeof hostRoleSchema>
export type HostStatus = z.infer<typeof hostStatusSchema>
export type WatchedState = z.infer<typeof watchedStateSchema>
export type StatusRequest = z.infer<typeof statusRequestSchema>
export type StatusResponse = z.infer<typeof statusResponseSchema>
export type HostReport = z.infer<typeof hostReportSchema>
export type HostsResponse = z.infer<typeof hostsResponseSchema>
export type EndpointListMessage = z.infer<typeof endpointListSchema>
export type ReadSiteResponse = z.infer<typeof readSiteResponseSchema>
export type ViewMessage = z.infer<typeof viewMessageSchema>
export type MembershipChange = z.infer<typeof membershipChangeSchema>
export type MembershipChangeResponse = z.infer<typeof membershipChangeResponseSchema>
export type OrderReport = z.infer<typeof orderReportSchema>
