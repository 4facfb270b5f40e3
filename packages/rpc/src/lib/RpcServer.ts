import {
  Server, ServerCredentials, status as grpcStatus, type handleServerStreamingCall, type handleUnaryCall,
  type ServerWritableStream
} from '@grpc/grpc-js'
import { decodeMessage, encodeMessage, type RpcMethod } from './RpcMethod.js'

/** Largest message taken, in bytes. */
export const MAX_MESSAGE_BYTES = 256 * 1024 * 1024

/** Milliseconds between keepalive pings, and without an answer until a connection counts as dead. */
export const KEEPALIVE_MS = 2000

/** A stream of responses to one call. */
export interface ResponseStream<Response> {
  /** Aborted when the caller is gone. */
  readonly signal: AbortSignal
  /** Sends one response; resolves when the transport wants more. */
  send (response: Response): Promise<void>
}

/** Serves methods on one address. */
export class RpcServer {
  readonly #server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
    'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
    'grpc.keepalive_time_ms': KEEPALIVE_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_MS
  })

  /**
   * Registers a method with one response.
   *
   * @param method - what is served
   * @param handler - answers it; a rejection becomes an internal error
   */
  handle<Request, Response> (method: RpcMethod<Request, Response>, handler: (request: Request) => Promise<Response>): void {
    const call: handleUnaryCall<Request, Response> = (unaryCall, callback) => {
      handler(unaryCall.request).then(
        response => { callback(null, response) },
        (error: unknown) => { callback({ code: grpcStatus.INTERNAL, details: String(error) }) }
      )
    }
    this.#register(method, 'unary', call)
  }

  /**
   * Registers a method with a stream of responses.
   *
   * @param method - what is served
   * @param handler - sends responses; the stream ends when it resolves
   */
  handleStream<Request, Response> (
    method: RpcMethod<Request, Response>,
    handler: (request: Request, stream: ResponseStream<Response>) => Promise<void>
  ): void {
    const call: handleServerStreamingCall<Request, Response> = streamCall => {
      const abort = new AbortController()
      streamCall.on('cancelled', () => { abort.abort() })
      streamCall.on('close', () => { abort.abort() })
      streamCall.on('error', () => { abort.abort() })
      const stream = { signal: abort.signal, send: async (response: Response) => { await writeWithBackpressure(streamCall, response, abort.signal) } }
      handler(streamCall.request, stream).then(
        () => { streamCall.end() },
        (error: unknown) => { streamCall.emit('error', { code: grpcStatus.INTERNAL, details: String(error) }) }
      )
    }
    this.#register(method, 'serverStream', call)
  }

  /**
   * Starts to listen.
   *
   * @param host - IP number
   * @param port - port, 0 for a free one
   * @returns the port
   */
  async listen (host: string, port: number): Promise<number> {
    return await new Promise((resolve, reject) => {
      this.#server.bindAsync(`${host}:${port}`, ServerCredentials.createInsecure(), (error, boundPort) => {
        if (error === null) resolve(boundPort)
        else reject(error)
      })
    })
  }

  /** Stops at once; calls under way are cut. */
  close (): void {
    this.#server.forceShutdown()
  }

  #register<Request, Response> (
    method: RpcMethod<Request, Response>,
    type: 'unary' | 'serverStream',
    handler: handleUnaryCall<Request, Response> | handleServerStreamingCall<Request, Response>
  ): void {
    this.#server.register(
      method.path,
      handler,
      response => encodeMessage(response),
      bytes => decodeMessage(method.request, bytes),
      type
    )
  }
}

async function writeWithBackpressure<Request, Response> (
  call: ServerWritableStream<Request, Response>, response: Response, signal: AbortSignal
): Promise<void> {
  if (signal.aborted || call.write(response)) return
  await new Promise<void>(resolve => {
    call.once('drain', resolve)
    signal.addEventListener('abort', () => { resolve() }, { once: true })
  })
}
