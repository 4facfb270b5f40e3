/** Messages, log entries and persistent state of the Raft consensus protocol. */
import { z } from 'zod'
import { bytesSchema } from '@eelgrassmux/schema/bytesSchema'

const index = z.number().int().min(0)
const bytes = bytesSchema

/** A control host. Its id is generated on its disk, so a host that lost its disk counts as a new replica. */
export const replicaSchema = z.strictObject({ id: z.string().min(1), address: z.string() })

/** Members of the group: voters, and learners that receive the log without voting. */
export const membershipSchema = z.strictObject({ voters: z.array(replicaSchema), learners: z.array(replicaSchema) })

export const logEntrySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('empty'), index, term: index }),
  z.strictObject({ kind: z.literal('command'), index, term: index, command: bytes }),
  z.strictObject({ kind: z.literal('membership'), index, term: index, membership: membershipSchema })
])

/** Encoded state machine after applying all entries up to and including `index`. */
export const snapshotSchema = z.strictObject({ index, term: index, membership: membershipSchema, state: bytes })

const header = { from: z.string(), term: index }

export const raftMessageSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('vote-request'), ...header, preVote: z.boolean(), lastIndex: index, lastTerm: index, transfer: z.boolean() }),
  z.strictObject({ kind: z.literal('vote-response'), ...header, preVote: z.boolean(), granted: z.boolean(), askedTerm: index }),
  z.strictObject({
    kind: z.literal('append-request'),
    ...header,
    previousIndex: index,
    previousTerm: index,
    entries: z.array(logEntrySchema),
    commitIndex: index,
    /** Leader's clock at the time of sending. The response echoes it, so that the lease starts at the send time. */
    sentAt: z.number()
  }),
  z.strictObject({ kind: z.literal('append-response'), ...header, success: z.boolean(), matchIndex: index, sentAt: z.number() }),
  z.strictObject({ kind: z.literal('snapshot-request'), ...header, snapshot: snapshotSchema, sentAt: z.number() }),
  z.strictObject({ kind: z.literal('timeout-now'), ...header })
])

export type Replica = z.infer<typeof replicaSchema>
export type Membership = z.infer<typeof membershipSchema>
export type LogEntry = z.infer<typeof logEntrySchema>
export type Snapshot = z.infer<typeof snapshotSchema>
export type RaftMessage = z.infer<typeof raftMessageSchema>
export type VoteRequest = Extract<RaftMessage, { kind: 'vote-request' }>
export type VoteResponse = Extract<RaftMessage, { kind: 'vote-response' }>
export type AppendRequest = Extract<RaftMessage, { kind: 'append-request' }>
export type AppendResponse = Extract<RaftMessage, { kind: 'append-response' }>
export type SnapshotRequest = Extract<RaftMessage, { kind: 'snapshot-request' }>

/** Outcome of the transport of a message with entries or a snapshot. */
export interface DeliveryReport {
  /** Id of the receiver. */
  readonly to: string
  readonly term: number
  readonly sentAt: number
  /** False if the message was lost, or may have been. */
  readonly isDelivered: boolean
}

/** State that a replica must recover after a restart. */
export interface PersistentState {
  readonly term: number
  readonly votedFor: string | undefined
  readonly snapshot: Snapshot | undefined
  readonly entries: readonly LogEntry[]
}

/** Writes that must be synced to disk before any message of the same batch is sent. */
export type DurableWrite =
  | { readonly kind: 'vote', readonly term: number, readonly votedFor: string | undefined }
  | { readonly kind: 'truncate', readonly fromIndex: number }
  | { readonly kind: 'append', readonly entry: LogEntry }
  | { readonly kind: 'snapshot', readonly snapshot: Snapshot }

/** Side effects that the core requests from its caller, in order; the durable writes of a batch come first. */
export interface RaftEffects {
  readonly writes: DurableWrite[]
  readonly messages: Array<{ readonly to: Replica, readonly message: RaftMessage }>
  readonly committed: LogEntry[]
  /** Snapshot received from the leader that replaces the state machine. */
  installed: Snapshot | undefined
}
