/**
 * Remote methods whose request and response each fit into one UDP datagram.
 *
 * They serve requests that are repeated often to a process about a millisecond away, and whose
 * responses are useless a second later. A lost datagram needs no retry because the next request
 * replaces it, and an exchange takes a tenth of the processor time of a gRPC call.
 */
import type { z } from 'zod'
import { decodeMessage, encodeMessage } from '../RpcMethod.js'

/** Encodes and decodes messages. */
export interface MessageCodec<Message> {
  encode (message: Message): Uint8Array
  /** @throws if the bytes are not a valid message */
  decode (bytes: Buffer): Message
}

/** One remote method. */
export interface DatagramMethod<Request, Response> {
  /** First byte of the method's datagrams; unique among the methods. */
  readonly kind: number
  /** Name of the method in metrics. */
  readonly name: string
  readonly request: MessageCodec<Request>
  readonly response: MessageCodec<Response>
}

/**
 * Defines a method whose messages are described by schemas.
 *
 * @param kind - first byte of the method's datagrams
 * @param name - name of the method in metrics
 * @param request - schema of the request
 * @param response - schema of the response
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
