/** What began a stream, and the messages by which entry hosts keep that at control hosts and look it up there. */
import { z } from 'zod'

const MAX_NAME_LENGTH = 256

/** Most streams in one message; a message of this many takes some kilobytes. */
export const MAX_STREAMS_PER_MESSAGE = 64

/** Most origins in one answer. */
const MAX_ORIGINS = 64

/** Longest time for which the origin of a stream is kept, in milliseconds. */
export const MAX_KEPT_MS = 600_000

const nameSchema = z.string().max(MAX_NAME_LENGTH)

export const streamOriginSchema = z.strictObject({
  /** Service whose endpoint sent the first event. */
  service: nameSchema,
  /** Version of that endpoint's software; absent if it states none. */
  software: nameSchema.optional()
})

export const startedStreamsSchema = z.strictObject({
  streams: z.array(z.strictObject({
    /** Request id of the attempt that brought the first event. */
    id: nameSchema.min(1),
    origin: streamOriginSchema,
    /** Milliseconds for which the caller may still resume the stream. */
    keepMs: z.number().min(0).max(MAX_KEPT_MS)
  })).max(MAX_STREAMS_PER_MESSAGE)
})

export const originQuestionSchema = z.strictObject({
  id: nameSchema.min(1),
  /** Name of the stream's route. */
  route: nameSchema
})

export const originAnswerSchema = z.strictObject({
  /** Absent if the control host does not know the stream. */
  origin: streamOriginSchema.optional(),
  /** What may have begun streams of the route lately, as far as the control host has seen. */
  possible: z.array(streamOriginSchema).max(MAX_ORIGINS),
  /** Whether the control host's endpoint list is recent. */
  isRecent: z.boolean(),
  /** Milliseconds for which the control host has followed what may begin streams. */
  observedMs: z.number().min(0)
})

/** The service and the software version that a stream has to go on at. */
export type StreamOrigin = z.infer<typeof streamOriginSchema>

/** Streams that have begun at one host. */
export type StartedStreams = z.infer<typeof startedStreamsSchema>

/** A stream that has begun. */
export type StartedStream = StartedStreams['streams'][number]

/** Question of an entry host about one stream. */
export type OriginQuestion = z.infer<typeof originQuestionSchema>

/** Answer of a control host about one stream. */
export type OriginAnswer = z.infer<typeof originAnswerSchema>

/**
 * @param origin - any origin
 * @returns a key that only equal origins share
 */
export function originKey ({ service, software }: StreamOrigin): string {
  return JSON.stringify([service, software])
}
