import {
  Server, ServerCredentials, status as grpcStatus, type handleServerStreamingCall, type handleUnaryCall,
  type ServerWritableStream
} from '@grpc/grpc-js'
import { createServer } from 'node:net'
import { ping } from './methods/ping.js'
import { decodeMessage, encodeMessage, type RpcMethod } from './RpcMethod.js'

/** Largest message that can be sent or received, in bytes. */
export const MAX_MESSAGE_BYTES = 256 * 1024 * 1024

/** Interval of keepalive pings, and the time without an answer to a ping after which a connection is considered dead, in milliseconds. */
export const KEEPALIVE_MS = 2000

/** The server's side of a call with a stream of responses. */
export interface ResponseStream<Response> {
  /** Aborted when the call was cancelled or the connection is lost. */
  readonly signal: AbortSignal
  /** Sends one response; resolves when the transport can accept more. */
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

  constructor () {
    this.handle(ping, async () => ({}))
  }

  /**
   * Registers a method with one response.
   *
   * @param method - method to serve
   * @param handler - returns the response; a rejection is sent as an INTERNAL error
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
   * @param method - method to serve
   * @param handler - sends responses; the stream ends when the returned promise resolves
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
   * @param host - IP address
   * @param port - port, 0 for any free port
   * @returns the port that the server listens on
   * @throws if the port can't be opened, with the code of the system; the call may be repeated
   */
  async listen (host: string, port: number): Promise<number> {
    if (port !== 0) await probePort(host, port)
    return await new Promise((resolve, reject) => {
      this.#server.bindAsync(`${host}:${port}`, ServerCredentials.createInsecure(), (error, boundPort) => {
        if (error === null) resolve(boundPort)
        else reject(error)
      })
    })
  }

  /**
   * Gives up a port.
   *
   * @param host - IP address
   * @param port - port that the server listens on
   */
  stopListening (host: string, port: number): void {
    this.#server.unbind(`${host}:${port}`)
  }

  /** Stops immediately and cancels calls in progress. */
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

/** The gRPC server states no error codes, and keeps the failure of a port for good. */
async function probePort (host: string, port: number): Promise<void> {
  // A connection that is accepted here would neither be answered nor let the probe close.
  const probe = createServer(socket => { socket.destroy() })
  await new Promise<void>((resolve, reject) => {
    probe.once('error', reject)
    probe.listen(port, host, () => { probe.close(() => { resolve() }) })
  })
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
