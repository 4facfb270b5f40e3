import type { ChannelOptions, ServiceError } from '@grpc/grpc-js'
import { fail, succeed, type Result } from '@eelgrassmux/schema/Result'
import { MIN_CHECK_MS, RpcChannel } from './RpcChannel.js'
import { fromServiceError, type RpcError } from './RpcError.js'
import { decodeMessage, encodeMessage, type RpcMethod } from './RpcMethod.js'
import { KEEPALIVE_MS, MAX_MESSAGE_BYTES } from './RpcServer.js'

/** Settings of a client. */
export interface RpcClientSettings {
  /** Interval of keepalive pings, and the time without an answer to a ping after which a connection is closed, in milliseconds. */
  readonly keepaliveMs: number
  /** Called when a connection was replaced because it carried nothing any more. */
  onSilentConnection (address: string): void
}

/** Options of one call. */
export interface CallOptions {
  /** Whether the server may run the call twice; it is then sent again if its connection turns out to be silent. */
  readonly isRepeatable?: boolean
}

/** Options of one stream. */
export interface StreamOptions {
  /** Whether the server sends the first response at once. */
  readonly isResponseDue?: boolean
}

const CHANNEL_OPTIONS = {
  // Only the caller retries: a transparent retry could execute a call twice.
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0,
  // Clients of the same address otherwise share a connection, also one that is being replaced.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 200,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES
}

/** Calls methods at any address and keeps one channel open for each address. A channel whose connection carries nothing any more is replaced. */
export class RpcClient {
  readonly #channels = new Map<string, RpcChannel>()
  readonly #channelOptions: ChannelOptions
  readonly #onSilentConnection: RpcClientSettings['onSilentConnection']
  #isClosed = false

  /** @param settings - settings that differ from the defaults */
  constructor ({ keepaliveMs = KEEPALIVE_MS, onSilentConnection = () => {} }: Partial<RpcClientSettings> = {}) {
    this.#channelOptions = { ...CHANNEL_OPTIONS, 'grpc.keepalive_time_ms': keepaliveMs, 'grpc.keepalive_timeout_ms': keepaliveMs }
    this.#onSilentConnection = onSilentConnection
  }

  /**
   * Calls a method with one response.
   *
   * @param address - IP address and port of the server
   * @param method - method to call
   * @param request - request message
   * @param deadlineMs - time until the call fails with a `deadline` error, in milliseconds
   * @param options - options of this call
   * @returns the response, or the error
   */
  async call<Request, Response> (
    address: string, method: RpcMethod<Request, Response>, request: Request, deadlineMs: number, { isRepeatable = false }: CallOptions = {}
  ): Promise<Result<Response, RpcError>> {
    const endsAt = performance.now() + deadlineMs
    return await new Promise(resolve => {
      let underWay = 0
      const onEnd = (result: Result<Response, RpcError>): void => {
        underWay -= 1
        if (result.ok || underWay === 0) resolve(result)
      }
      const send = (): void => {
        underWay += 1
        this.#send(address, method, request, endsAt - performance.now(), isRepeatable ? send : () => {}, onEnd)
      }
      send()
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
   * @param options - options of this stream
   * @returns undefined when the server ended the stream, or the error that broke it; `silent` if its connection was replaced
   */
  async stream<Request, Response> (
    address: string,
    method: RpcMethod<Request, Response>,
    request: Request,
    onResponse: (response: Response) => void,
    signal: AbortSignal,
    { isResponseDue = false }: StreamOptions = {}
  ): Promise<RpcError | undefined> {
    return await new Promise(resolve => {
      const channel = this.#channel(address)
      const call = channel.client.makeServerStreamRequest<Request, Response>(
        method.path, encodeMessage, bytes => decodeMessage(method.response, bytes), request
      )
      let isSilent = false
      const use = channel.use(() => {
        isSilent = true
        call.cancel()
      }, isResponseDue)
      const cancel = (): void => { call.cancel() }
      const end = (error: RpcError | undefined): void => {
        signal.removeEventListener('abort', cancel)
        use.end(false)
        resolve(error)
      }
      signal.addEventListener('abort', cancel, { once: true })
      call.on('data', (response: Response) => {
        use.answered()
        onResponse(response)
      })
      call.on('error', (error: ServiceError) => { end(isSilent ? { kind: 'silent', address } : fromServiceError(error, address)) })
      call.on('end', () => { end(undefined) })
      if (signal.aborted) cancel()
    })
  }

  /**
   * Reports that a server has sent a message on a stream, as a datagram of it shows. If none arrives soon, the connection is checked.
   *
   * @param address - IP address and port of the server
   * @param delayMs - time for which the server may hold the message back, in milliseconds
   */
  expectMessage (address: string, delayMs = 0): void {
    this.#channels.get(address)?.expectMessage(delayMs)
  }

  /** Closes all channels. */
  close (): void {
    this.#isClosed = true
    for (const channel of this.#channels.values()) channel.close()
    this.#channels.clear()
  }

  #send<Request, Response> (
    address: string, method: RpcMethod<Request, Response>, request: Request, deadlineMs: number, onRetired: () => void, onEnd: (result: Result<Response, RpcError>) => void
  ): void {
    const channel = this.#channel(address)
    const use = channel.use(onRetired, true)
    channel.client.makeUnaryRequest<Request, Response>(
      method.path,
      encodeMessage,
      bytes => decodeMessage(method.response, bytes),
      request,
      { deadline: Date.now() + deadlineMs },
      (error: ServiceError | null, response?: Response) => {
        const failure: RpcError | undefined = error === null ? undefined : fromServiceError(error, address)
        if (failure === undefined || failure.kind === 'failed') use.answered()
        use.end(failure?.kind === 'deadline')
        if (failure !== undefined) onEnd(fail(failure))
        else if (response === undefined) onEnd(fail({ kind: 'failed', address, detail: 'no response' }))
        else onEnd(succeed(response))
      }
    )
  }

  #channel (address: string): RpcChannel {
    return this.#channels.get(address) ?? this.#open(address, MIN_CHECK_MS)
  }

  #open (address: string, checkMs: number): RpcChannel {
    const channel = new RpcChannel(address, this.#channelOptions, checkMs, () => { this.#replace(address, channel) })
    this.#channels.set(address, channel)
    return channel
  }

  #replace (address: string, silent: RpcChannel): void {
    if (this.#isClosed || this.#channels.get(address) !== silent) return
    this.#open(address, silent.nextCheckMs)
    this.#onSilentConnection(address)
    silent.retire()
  }
}
