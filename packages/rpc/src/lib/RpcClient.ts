import { Client, credentials, type ChannelOptions, type ServiceError } from '@grpc/grpc-js'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { fromServiceError, type RpcError } from './RpcError.js'
import { decodeMessage, encodeMessage, type RpcMethod } from './RpcMethod.js'
import { KEEPALIVE_MS, MAX_MESSAGE_BYTES } from './RpcServer.js'

/** Settings of a client. */
export interface RpcClientSettings {
  /** Interval of keepalive pings, and the time without an answer to a ping after which a connection is closed, in milliseconds. */
  readonly keepaliveMs: number
}

const CHANNEL_OPTIONS = {
  // Only the caller retries: a transparent retry could execute a call twice.
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 200,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES
}

/** Calls methods at any address and keeps one channel open for each address. */
export class RpcClient {
  readonly #channels = new Map<string, Client>()
  readonly #channelOptions: ChannelOptions

  /** @param settings - settings that differ from the defaults */
  constructor ({ keepaliveMs = KEEPALIVE_MS }: Partial<RpcClientSettings> = {}) {
    this.#channelOptions = { ...CHANNEL_OPTIONS, 'grpc.keepalive_time_ms': keepaliveMs, 'grpc.keepalive_timeout_ms': keepaliveMs }
  }

  /**
   * Calls a method with one response.
   *
   * @param address - IP address and port of the server
   * @param method - method to call
   * @param request - request message
   * @param deadlineMs - time until the call fails with a `deadline` error, in milliseconds
   * @returns the response, or the error
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
   * @param address - IP address and port of the server
   * @param method - method to call
   * @param request - request message
   * @param onResponse - called with each response
   * @param signal - cancels the call
   * @returns undefined when the server ended the stream, or the error that broke it
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
    const channel = new Client(address, credentials.createInsecure(), this.#channelOptions)
    this.#channels.set(address, channel)
    return channel
  }
}
