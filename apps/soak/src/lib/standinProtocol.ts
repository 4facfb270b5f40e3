/** What a caller asks of an endpoint stand-in, and what the stand-in prints about it. */
import { z } from 'zod'

/** Ways in which a stand-in can be made to break a promise, so that the checks are seen to fail. */
export const ENDPOINT_BREAKS = [
  'run-twice', 'run-then-reject', 'foreign-answer', 'event-missing', 'event-doubled', 'early-end', 'mixed-weights', 'other-customer', 'cut'
] as const

export const endpointBreakSchema = z.enum(ENDPOINT_BREAKS)
export type EndpointBreak = z.infer<typeof endpointBreakSchema>

/** Exit code of a stand-in that was ended by a request. */
export const CRASHED_BY_REQUEST_EXIT_CODE = 86

const commonWorkFields = {
  fault: endpointBreakSchema.optional(),
  /** Milliseconds after which the process of the endpoint ends because of it; most requests end none. */
  crashesEndpointAfterMs: z.number().min(0).optional()
}

/** What a stand-in asks of hosts in its answers: to send nothing for a while, to keep a rate, or to take it for leaving. */
export const RESTRAINT_KINDS = ['pause', 'rate', 'leaving'] as const
export type RestraintKind = typeof RESTRAINT_KINDS[number]

/** Order to a stand-in to ask for it from now on; one that leaves goes on saying so. */
export const restraintSchema = z.strictObject({ kind: z.enum(RESTRAINT_KINDS), durationMs: z.number().min(0) })
export type Restraint = z.infer<typeof restraintSchema>

/** Pause that a rejection asks for, in milliseconds. */
export const REQUESTED_PAUSE_MS = 1500

/** Requests a second that a stand-in names, for all hosts together. */
export const REQUESTED_RATE_PER_SECOND = 3

/** Travels in a header, as JSON. */
export const workSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('plain'), milliseconds: z.number().min(0), ...commonWorkFields }),
  z.strictObject({ kind: z.literal('stream'), events: z.number().int().min(1), intervalMs: z.number().min(0), ...commonWorkFields })
])
export type Work = z.infer<typeof workSchema>

/** One event of a stream; its id is the event's number, from 1. */
export const eventSchema = z.strictObject({ requestId: z.string(), number: z.number().int(), of: z.number().int(), version: z.number().int() })
export type StreamEvent = z.infer<typeof eventSchema>

/** Body of a plain answer. */
export const plainAnswerSchema = z.strictObject({ requestId: z.string(), echo: z.string(), customer: z.string() })

/** A line of a stand-in: a run has begun, a request was rejected with a pause asked for, or it holds other weights. */
export const endpointLineSchema = z.discriminatedUnion('event', [
  z.strictObject({
    event: z.literal('run'),
    requestId: z.string(),
    endpoint: z.string(),
    customer: z.string(),
    cacheSalt: z.string(),
    /** Whether the caller's key was passed on. */
    hasKey: z.boolean(),
    version: z.number().int(),
    /** Behind which event of the stream it begins; 0 from the start. */
    after: z.number().int(),
    /** What its answer asks of the host. */
    asks: z.enum(['rate', 'leaving']).optional(),
    /** Wall clock, in milliseconds. */
    at: z.number()
  }),
  z.strictObject({ event: z.literal('rejected'), requestId: z.string(), endpoint: z.string(), at: z.number() }),
  z.strictObject({ event: z.literal('weights'), endpoint: z.string(), version: z.number().int() })
])
export type EndpointLine = z.infer<typeof endpointLineSchema>
export type RunLine = Extract<EndpointLine, { event: 'run' }>
export type RejectionLine = Extract<EndpointLine, { event: 'rejected' }>

/** An order to load weights. */
export const orderSchema = z.strictObject({ model: z.string(), version: z.number().int(), expectedOrders: z.number().int() })

/** What a stand-in says of its weights. */
export const reportSchema = z.strictObject({ model: z.string(), version: z.number().int(), isBusy: z.boolean(), acceptedOrders: z.number().int() })
