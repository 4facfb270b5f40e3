/** Methods of the control hosts. */
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

/** A protocol message with its sender's address, for replicas that do not know each other yet. */
export const raftEnvelopeSchema = z.strictObject({ from: replicaSchema, to: z.string(), message: raftMessageSchema })

export const proposeResponseSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('applied'), result: commandResultSchema }),
  /** Nothing was appended. */
  z.strictObject({ kind: z.literal('not-leader'), leader: z.string() }),
  /** It may still be applied later. */
  z.strictObject({ kind: z.literal('uncertain') })
])

/** What kind of process a host runs. */
export const hostRoleSchema = z.enum(['entry', 'directory'])

/** Longest name or address in a datagram that anybody may send, in characters; the longest data centre's name is a tenth of it. */
const LONGEST_NAME = 256

const nameSchema = z.string().max(LONGEST_NAME)

/** What a host says of itself. */
export const hostStatusSchema = z.strictObject({
  host: nameSchema,
  role: hostRoleSchema,
  address: nameSchema,
  dataCentre: nameSchema,
  /** View that is in force on the host. */
  viewRevision: count,
  /** False once the host is stopping; it then gets no new shard. */
  accepting: z.boolean()
})

export const statusRequestSchema = hostStatusSchema.extend({
  /** Index of the membership that the host knows; minus one if it knows none. */
  membershipIndex: z.int().min(-1),
  /** Whether the host tells other entry hosts of its dispatches. */
  wantsPeers: z.boolean()
})

/** How far what a control host has to tell its watchers has got, so that those without news know that they have it all. */
export const watchedStateSchema = z.strictObject({
  /** Names this one life of the process: versions begin anew in the next. */
  incarnation: z.string(),
  /** Version of the endpoint list. */
  endpointList: count,
  /** Milliseconds since the platform stated the list; minus one before it ever did. */
  listAgeMs: z.number(),
  /** Changes of stored parts so far. */
  storedParts: count,
  /** Clock of stores and engines when the answer was sent, in milliseconds; absent until one has stated it. */
  storeClockMs: z.number().optional()
})

export const statusResponseSchema = z.strictObject({
  replicaId: nameSchema,
  /** Absent if it is the one that the host knows. */
  membership: membershipSchema.optional(),
  /** Index of the log entry that set the membership; the newest wins. */
  membershipIndex: count,
  /** Upper bound of any view in this replica's log, committed or not. */
  newestView: count,
  /** View that this replica has applied. */
  appliedView: count,
  /** Address of the leader this replica follows; empty if it knows none. */
  leader: z.string(),
  /** Entry hosts heard from lately; the share of each is one part of this many. */
  liveEntries: count,
  /** Peer addresses of the live entry hosts, if they were asked for; empty when they are too many to tell each other of every dispatch. */
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
  /** Hosts that spoke to a replica before it started are unknown to it. */
  uptimeMs: z.number(),
  hosts: z.array(hostReportSchema),
  /** Last orders about data centres. */
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
    /** Data centres whose endpoints get no new work; absent if there are none. */
    evacuated: z.array(dataCentreNameSchema).optional(),
    /** Absent if there are none. */
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
    /** Absent if the site is the same as before. */
    site: siteSchema.optional(),
    weights: z.array(desiredWeightsSchema),
    /** All of them; absent if there are none. */
    evacuated: z.array(dataCentreNameSchema).optional(),
    /** New and changed ones; absent if there are none. */
    quarantine: z.array(quarantineEntryMessageSchema).optional(),
    /** Requests that are not in the quarantine any more; absent if there are none. */
    quarantineRemoved: z.array(fingerprintSchema).optional()
  })
])

/** The endpoint list as a control host last read it; sent on each change. In between, status answers say that nothing has changed. */
export const endpointListSchema = z.strictObject({
  incarnation: z.string(),
  version: count,
  /** Absent if it is the same as in the message before. */
  endpoints: z.array(listedEndpointSchema).optional(),
  /** Milliseconds since the platform answered; minus one before it ever did. */
  readAgeMs: z.number()
})

export const readSiteResponseSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('site'), version: count, source: bytesSchema }),
  /** No site was ever accepted. */
  z.strictObject({ kind: z.literal('none') }),
  /** This replica can't be sure which site is the newest. */
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

/** Kind of the datagrams that carry the protocol's short messages. */
const RAFT_KIND = 4

export const exchangeRaft = defineUnary('/eelgrassmux.Control/ExchangeRaft', raftEnvelopeSchema, emptySchema)
/** Likewise for messages that may be lost and fit into a datagram; nothing is answered. */
export const sendRaftMessage = defineDatagram(RAFT_KIND, 'raft', raftEnvelopeSchema, emptySchema)
export const propose = defineUnary('/eelgrassmux.Control/Propose', z.strictObject({ command: commandSchema }), proposeResponseSchema)
/** Kind of the datagrams in which hosts report; those of load reports have another. */
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
