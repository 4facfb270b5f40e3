/** Messages, log entries and persistent state of the agreement protocol (Raft). */
import { z } from 'zod'
import { bytesSchema } from '@eelgrassmux/schema/bytesSchema'

const index = z.number().int().min(0)
const bytes = bytesSchema

/** A control host: its id is made on its disk, so a host that lost its disk is a new one. */
export const replicaSchema = z.strictObject({ id: z.string().min(1), address: z.string() })

/** Who votes and who only receives the log. */
export const membershipSchema = z.strictObject({ voters: z.array(replicaSchema), learners: z.array(replicaSchema) })

export const logEntrySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('empty'), index, term: index }),
  z.strictObject({ kind: z.literal('command'), index, term: index, command: bytes }),
  z.strictObject({ kind: z.literal('membership'), index, term: index, membership: membershipSchema })
])

/** State machine image up to and including an index. */
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
    /** Leader's clock at sending; echoed, so that a lease counts from the sending. */
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

/** What a replica must find again after a restart. */
export interface PersistentState {
  readonly term: number
  readonly votedFor: string | undefined
  readonly snapshot: Snapshot | undefined
  readonly entries: readonly LogEntry[]
}

/** Writes that must be synced before anything else of the same batch leaves the process. */
export type DurableWrite =
  | { readonly kind: 'vote', readonly term: number, readonly votedFor: string | undefined }
  | { readonly kind: 'truncate', readonly fromIndex: number }
  | { readonly kind: 'append', readonly entry: LogEntry }
  | { readonly kind: 'snapshot', readonly snapshot: Snapshot }

/** What the core asks its task to do, in order; durable writes of a batch come first. */
export interface RaftEffects {
  readonly writes: DurableWrite[]
  readonly messages: Array<{ readonly to: Replica, readonly message: RaftMessage }>
  readonly committed: LogEntry[]
  /** Snapshot that replaces the state machine, received from the leader. */
  installed: Snapshot | undefined
}
