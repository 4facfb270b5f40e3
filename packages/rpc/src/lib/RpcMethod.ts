/** RPC methods between the processes of this system: Zod schemas define the messages, MessagePack encodes them and gRPC transports them. */
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
  /** @param detail - validation error of the schema, with the name of the field */
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
 * Encodes a message as MessagePack; undefined properties are left out.
 *
 * @param message - any message that a schema describes
 * @returns the encoded message
 */
export function encodeMessage (message: unknown): Buffer {
  const bytes = encode(message, { ignoreUndefined: true })
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}

/**
 * Decodes a message and validates it.
 *
 * @param schema - schema of the message
 * @param bytes - received bytes
 * @returns the validated message
 * @throws MalformedMessage if the message does not match the schema
 */
export function decodeMessage<Message> (schema: z.ZodType<Message>, bytes: Uint8Array): Message {
  const parsed = schema.safeParse(decode(bytes))
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  throw new MalformedMessage(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`)
}
