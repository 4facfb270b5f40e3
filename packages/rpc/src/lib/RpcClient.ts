import { Client, credentials, type ServiceError } from '@grpc/grpc-js'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { fromServiceError, type RpcError } from './RpcError.js'
import { decodeMessage, encodeMessage, type RpcMethod } from './RpcMethod.js'
import { KEEPALIVE_MS, MAX_MESSAGE_BYTES } from './RpcServer.js'

const CHANNEL_OPTIONS = {
  // No call runs twice unseen.
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 200,
  'grpc.keepalive_time_ms': KEEPALIVE_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_MS,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES
}

/** Calls methods on any address; keeps one channel to each. */
export class RpcClient {
  readonly #channels = new Map<string, Client>()

  /**
   * Calls a method with one response.
   *
   * @param address - IP number and port
   * @param method - what to call
   * @param request - its request
   * @param deadlineMs - milliseconds until the call is given up
   * @returns the response, or why there is none
   */
  async call<Request, Response> (
    address: string, method: RpcMethod<Request, Response>, request: Request, deadlineMs: number
  ): Promise<Result<Response, RpcError>> {
    return await new Promise(resolve => {
      this.#channel(address).makeUnaryRequest<Request, Response>(
        method.path,
        encodeMessage,
        bytes => decodeMessage(method.response, bytes),
        request,
        { deadline: Date.now() + deadlineMs },
        (error: ServiceError | null, response?: Response) => {
          if (error !== null) resolve(fail(fromServiceError(error, address)))
          else if (response === undefined) resolve(fail({ kind: 'failed', address, detail: 'no response' }))
          else resolve(succeed(response))
        }
      )
    })
  }

  /**
   * Calls a method with a stream of responses.
   *
   * @param address - IP number and port
   * @param method - what to call
   * @param request - its request
   * @param onResponse - takes each response
   * @param signal - ends the call
   * @returns undefined when the far side ended the stream, or why it broke
   */
  async stream<Request, Response> (
    address: string,
    method: RpcMethod<Request, Response>,
    request: Request,
    onResponse: (response: Response) => void,
    signal: AbortSignal
  ): Promise<RpcError | undefined> {
    return await new Promise(resolve => {
      const call = this.#channel(address).makeServerStreamRequest<Request, Response>(
        method.path, encodeMessage, bytes => decodeMessage(method.response, bytes), request
      )
      const cancel = (): void => { call.cancel() }
      signal.addEventListener('abort', cancel, { once: true })
      call.on('data', onResponse)
      call.on('error', (error: ServiceError) => {
        signal.removeEventListener('abort', cancel)
        resolve(fromServiceError(error, address))
      })
      call.on('end', () => {
        signal.removeEventListener('abort', cancel)
        resolve(undefined)
      })
      if (signal.aborted) cancel()
    })
  }

  /** Closes all channels. */
  close (): void {
    for (const channel of this.#channels.values()) channel.close()
    this.#channels.clear()
  }

  #channel (address: string): Client {
    const present = this.#channels.get(address)
    if (present !== undefined) return present
    const channel = new Client(address, credentials.createInsecure(), CHANNEL_OPTIONS)
    this.#channels.set(address, channel)
    return channel
  }
}
