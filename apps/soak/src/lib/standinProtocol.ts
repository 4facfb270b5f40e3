/** Protocol between callers, the soak and endpoint stand-ins: what a request asks of a stand-in, and what the stand-in prints. */
import { z } from 'zod'

/** Ways in which a stand-in can break a guarantee on purpose, to prove that the checks detect it. */
export const ENDPOINT_BREAKS = [
  'run-twice', 'run-then-reject', 'foreign-answer', 'event-missing', 'event-doubled', 'early-end', 'mixed-weights', 'mixed-software', 'other-customer', 'cut'
] as const

export const endpointBreakSchema = z.enum(ENDPOINT_BREAKS)
export type EndpointBreak = z.infer<typeof endpointBreakSchema>

/** Exit code of a stand-in that a request has crashed. */
export const CRASHED_BY_REQUEST_EXIT_CODE = 86

const commonWorkFields = {
  fault: endpointBreakSchema.optional(),
  /** Milliseconds after which the request crashes the endpoint; absent for most requests, which crash none. */
  crashesEndpointAfterMs: z.number().min(0).optional()
}

/** Exit code of a stand-in that had to reject too many requests. */
export const FELL_OVER_EXIT_CODE = 87

/** What a stand-in asks of hosts in its answers: to send nothing for a while, to keep to a rate, or to treat it as leaving. */
export const RESTRAINT_KINDS = ['pause', 'rate', 'leaving'] as const
export type RestraintKind = typeof RESTRAINT_KINDS[number]

/** Order to a stand-in to ask for a restraint from now on; a stand-in that is leaving keeps announcing it. */
export const restraintSchema = z.strictObject({ kind: z.enum(RESTRAINT_KINDS), durationMs: z.number().min(0) })
export type Restraint = z.infer<typeof restraintSchema>

/** Pause that a rejection asks for, in milliseconds. */
export const REQUESTED_PAUSE_MS = 1500

/** Rate that a stand-in asks for, in requests per second from all hosts together. */
export const REQUESTED_RATE_PER_SECOND = 3

/** Part of an answer that never ends: its head, its body, or the body of a rejection. */
export const ENDLESS_PARTS = ['head', 'body', 'rejection'] as const
export type EndlessPart = typeof ENDLESS_PARTS[number]

/** When a second answer comes: at once behind the first one, or ahead of the next answer on its connection, whole, without its request id, or cut off. */
export const SECOND_ANSWER_KINDS = ['at-once', 'late', 'late-without-id', 'late-cut'] as const
export type SecondAnswerKind = typeof SECOND_ANSWER_KINDS[number]

/** Order to a stand-in: its machine is slow, it runs few requests at once, or its answers have no end, for some time. */
export const conditionSchema = z.discriminatedUnion('kind', [
  /** `pace` is the time that work takes, in hundredths of the usual time. */
  z.strictObject({ kind: z.literal('slow'), pace: z.number().min(1), durationMs: z.number().min(0) }),
  /** Like `full`, and the stand-in fails if it has to reject more than `bears` requests in a second. */
  z.strictObject({ kind: z.literal('brittle'), places: z.number().int().min(0), bears: z.number().int().min(0), durationMs: z.number().min(0) }),
  /** The stand-in answers requests that it rejects, and plain ones, twice; it runs at most `places` requests at once, and rejects the others. */
  z.strictObject({ kind: z.literal('second-answers'), answers: z.enum(SECOND_ANSWER_KINDS), places: z.number().int().min(0), durationMs: z.number().min(0) }),
  z.strictObject({ kind: z.literal('endless'), part: z.enum(ENDLESS_PARTS), durationMs: z.number().min(0) }),
  z.strictObject({ kind: z.literal('full'), places: z.number().int().min(0), durationMs: z.number().min(0) })
])
export type Condition = z.infer<typeof conditionSchema>

/** What a request asks of a stand-in; sent as JSON in a header. */
export const workSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('plain'), milliseconds: z.number().min(0), ...commonWorkFields }),
  /** `paddingBytes` is the size of a comment before each event. */
  z.strictObject({ kind: z.literal('stream'), events: z.number().int().min(1), intervalMs: z.number().min(0), paddingBytes: z.number().int().min(0).optional(), ...commonWorkFields })
])
export type Work = z.infer<typeof workSchema>

/** One event of a stream; `number` counts from 1 and is also the event id. */
export const eventSchema = z.strictObject({ requestId: z.string(), number: z.number().int(), of: z.number().int(), version: z.number().int(), software: z.string() })
export type StreamEvent = z.infer<typeof eventSchema>

/** Body of a plain answer. */
export const plainAnswerSchema = z.strictObject({ requestId: z.string(), echo: z.string(), customer: z.string() })

/** A line that a stand-in prints: a run has started, a request was rejected with a request for a pause or without one, an answer without end has begun or its connection was closed, or other weights were loaded. */
export const endpointLineSchema = z.discriminatedUnion('event', [
  z.strictObject({
    event: z.literal('run'),
    requestId: z.string(),
    endpoint: z.string(),
    customer: z.string(),
    cacheSalt: z.string(),
    /** Whether the request that the endpoint received has the key of the caller. */
    hasKey: z.boolean(),
    version: z.number().int(),
    /** Number of the event after which the stream resumes; 0 if it starts at the first event. */
    after: z.number().int(),
    /** What the answer asks of the host. */
    asks: z.enum(['rate', 'leaving']).optional(),
    /** Wall clock, in milliseconds. */
    at: z.number()
  }),
  z.strictObject({ event: z.literal('rejected'), requestId: z.string(), endpoint: z.string(), at: z.number() }),
  z.strictObject({ event: z.literal('turned-away'), requestId: z.string(), endpoint: z.string(), at: z.number() }),
  z.strictObject({ event: z.literal('endless-begun'), requestId: z.string(), endpoint: z.string(), part: z.enum(ENDLESS_PARTS), at: z.number() }),
  z.strictObject({ event: z.literal('endless-closed'), requestId: z.string(), endpoint: z.string(), bytes: z.number(), at: z.number() }),
  z.strictObject({ event: z.literal('weights'), endpoint: z.string(), version: z.number().int() })
])
export type EndpointLine = z.infer<typeof endpointLineSchema>
export type RunLine = Extract<EndpointLine, { event: 'run' }>
/** An answer without end has begun, or the connection on which it came was closed. */
export type EndlessLine = Extract<EndpointLine, { event: 'endless-begun' | 'endless-closed' }>
export type TurnedAwayLine = Extract<EndpointLine, { event: 'turned-away' }>
/** Any line about a request that has arrived at an endpoint. */
export type ArrivalLine = RunLine | RejectionLine | TurnedAwayLine
export type RejectionLine = Extract<EndpointLine, { event: 'rejected' }>

/** Order to load a version of the weights. */
export const orderSchema = z.strictObject({ model: z.string(), version: z.number().int(), expectedOrders: z.number().int() })

/** Report of a stand-in about its weights. */
export const reportSchema = z.strictObject({ model: z.string(), version: z.number().int(), isBusy: z.boolean(), acceptedOrders: z.number().int() })
