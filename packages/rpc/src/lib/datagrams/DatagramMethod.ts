/**
 * Questions that are asked in one datagram and answered in another.
 *
 * For what is asked again and again of a process that is a millisecond away, and is worth
 * nothing a second later: a lost datagram is made good by the next, and it takes
 * a tenth of the processor time of a gRPC call.
 */
import type { z } from 'zod'
import { decodeMessage, encodeMessage } from '../RpcMethod.js'

/** Messages as bytes. */
export interface MessageCodec<Message> {
  encode (message: Message): Uint8Array
  /** @throws if the bytes are no such message */
  decode (bytes: Buffer): Message
}

/** One kind of question. */
export interface DatagramMethod<Request, Response> {
  /** First byte of its datagrams; no two methods share it. */
  readonly kind: number
  /** For metrics. */
  readonly name: string
  readonly request: MessageCodec<Request>
  readonly response: MessageCodec<Response>
}

/**
 * Defines a method whose messages schemas describe.
 *
 * @param kind - first byte of its datagrams
 * @param name - for metrics
 * @param request - schema of the question
 * @param response - schema of the answer
 * @returns the method
 */
export function defineDatagram<Request, Response> (
  kind: number, name: string, request: z.ZodType<Request>, response: z.ZodType<Response>
): DatagramMethod<Request, Response> {
  return { kind, name, request: schemaCodec(request), response: schemaCodec(response) }
}

function schemaCodec<Message> (schema: z.ZodType<Message>): MessageCodec<Message> {
  return { encode: encodeMessage, decode: bytes => decodeMessage(schema, bytes) }
}
