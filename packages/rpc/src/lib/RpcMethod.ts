/** Calls between the system's own processes: schemas give the types, MessagePack the bytes, gRPC the transport. */
import { decode, encode } from '@msgpack/msgpack'
import type { z } from 'zod'

/** One remote method. */
export interface RpcMethod<Request, Response> {
  /** gRPC path, `/service/Method`. */
  readonly path: string
  readonly request: z.ZodType<Request>
  readonly response: z.ZodType<Response>
  readonly streamsResponse: boolean
}

/** Thrown inside the transport when a message does not match its schema. */
export class MalformedMessage extends Error {
  /** @param detail - schema's complaint, with the field's name */
  constructor (detail: string) {
    super(`malformed message: ${detail}`)
    this.name = 'MalformedMessage'
  }
}

/**
 * Defines a method with one response.
 *
 * @param path - gRPC path
 * @param request - schema of the request
 * @param response - schema of the response
 * @returns the method
 */
export function defineUnary<Request, Response> (
  path: string, request: z.ZodType<Request>, response: z.ZodType<Response>
): RpcMethod<Request, Response> {
  return { path, request, response, streamsResponse: false }
}

/**
 * Defines a method with a stream of responses.
 *
 * @param path - gRPC path
 * @param request - schema of the request
 * @param response - schema of each response
 * @returns the method
 */
export function defineStream<Request, Response> (
  path: string, request: z.ZodType<Request>, response: z.ZodType<Response>
): RpcMethod<Request, Response> {
  return { path, request, response, streamsResponse: true }
}

/**
 * @param message - any message that a schema describes
 * @returns its bytes
 */
export function encodeMessage (message: unknown): Buffer {
  const bytes = encode(message, { ignoreUndefined: true })
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}

/**
 * @param schema - what the bytes must describe
 * @param bytes - received bytes
 * @returns the checked message
 * @throws MalformedMessage if they do not match
 */
export function decodeMessage<Message> (schema: z.ZodType<Message>, bytes: Uint8Array): Message {
  const parsed = schema.safeParse(decode(bytes))
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  throw new MalformedMessage(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`)
}
