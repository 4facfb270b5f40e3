/** What a caller asks of an endpoint stand-in, and what the stand-in prints about it. */
import { z } from 'zod'

/** Ways in which a stand-in can be made to break a promise, so that the checks are seen to fail. */
export const ENDPOINT_BREAKS = [
  'run-twice', 'run-then-reject', 'foreign-answer', 'event-missing', 'event-doubled', 'early-end', 'mixed-weights', 'other-customer', 'cut'
] as const

export const endpointBreakSchema = z.enum(ENDPOINT_BREAKS)
export type EndpointBreak = z.infer<typeof endpointBreakSchema>

/** Exit code of a stand-in that was ended by a request. */
export const CRASHED_BY_REQUEST_CODE = 86

const anyWork = {
  fault: endpointBreakSchema.optional(),
  /** Milliseconds after which the process of the endpoint ends because of it; most requests end none. */
  crashesEndpointAfterMs: z.number().min(0).optional()
}

/** Travels in a header, as JSON. */
export const workSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('plain'), milliseconds: z.number().min(0), ...anyWork }),
  z.strictObject({ kind: z.literal('stream'), events: z.number().int().min(1), intervalMs: z.number().min(0), ...anyWork })
])
export type Work = z.infer<typeof workSchema>

/** One event of a stream; its id is the event's number, from 1. */
export const eventSchema = z.strictObject({ requestId: z.string(), number: z.number().int(), of: z.number().int(), version: z.number().int() })
export type StreamEvent = z.infer<typeof eventSchema>

/** Body of a plain answer. */
export const plainAnswerSchema = z.strictObject({ requestId: z.string(), echo: z.string(), customer: z.string() })

/** A line of a stand-in: a run has begun, or it holds other weights. */
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
    /** Wall clock, in milliseconds. */
    at: z.number()
  }),
  z.strictObject({ event: z.literal('weights'), endpoint: z.string(), version: z.number().int() })
])
export type EndpointLine = z.infer<typeof endpointLineSchema>
export type RunLine = Extract<EndpointLine, { event: 'run' }>

/** An order to load weights. */
export const orderSchema = z.strictObject({ model: z.string(), version: z.number().int(), expectedOrders: z.number().int() })

/** What a stand-in says of its weights. */
export const reportSchema = z.strictObject({ model: z.string(), version: z.number().int(), isBusy: z.boolean(), acceptedOrders: z.number().int() })
