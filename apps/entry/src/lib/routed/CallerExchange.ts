/** One request of a caller and the response to it, on the caller's connection. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Refusal } from '@eelgrassmux/schema/Refusal'
import { toProblem } from '../callers/problem.js'
import type { EndpointRequest } from './EndpointConnection.js'
import { endToEndHeaders } from './headers.js'
import { RELAY_HEADER, RELAY_REFUSED_HEADER } from '../relays/relayHeaders.js'
import { WAITING_RESPONSE_BYTES, type SlowReader } from './SlowReaders.js'

/** State that the requests of one connection share. */
interface ConnectionState {
  /** The request that arrived last. */
  latest: CallerExchange
  /** Whether a response announced with `Connection: close` that it is the last one. */
  isClosing: boolean
  /** Requests whose responses have neither been written nor been given up. */
  readonly open: Set<CallerExchange>
}

/** Refusals of relayed requests that another host may accept. */
const REASONS_OF_THIS_HOST: ReadonlySet<Refusal['reason']> = new Set(['draining', 'configuration-stale', 'endpoints-out-of-reach', 'host-overloaded', 'host-memory'])

/** Time in which a caller that is refused before it has sent its whole body can read that, in milliseconds. */
const LAST_READ_MS = 1000

/**
 * Time between the last bytes of a response and a reset, in milliseconds. A caller on libuv that receives both at once takes the
 * reset for an orderly end.
 */
const RESET_DELAY_MS = 50

const connectionStates = new WeakMap<Socket, ConnectionState>()

/** Reads a caller's request and writes the response. */
export class CallerExchange {
  #hasHead = false
  #hasEnded = false
  #hasCallerLeft = false
  #lastWriteAt = Number.NEGATIVE_INFINITY
  #hasLength = false
  #reader: SlowReader | undefined
  #openWaiting: (() => SlowReader) | undefined
  #waiter: SlowReader | undefined
  #endsWait: (() => void) | undefined
  readonly #isAfterLastResponse: boolean
  readonly #connection: ConnectionState
  readonly #isFirstOnConnection: boolean
  readonly #closeListeners: Array<() => void> = []

  /**
   * @param request - the caller's request
   * @param response - response to the request
   * @param shouldCloseConnections - whether callers should move to other connections
   */
  constructor (
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly shouldCloseConnections: () => boolean
  ) {
    response.sendDate = false
    const known = connectionStates.get(request.socket)
    this.#isFirstOnConnection = known === undefined
    this.#connection = known ?? openConnection(request.socket, this)
    this.#isAfterLastResponse = this.#connection.isClosing
    this.#connection.latest = this
    this.#connection.open.add(this)
    response.on('close', () => { this.close() })
  }

  /** Ends the exchange when its response or its connection has closed. Node.js closes no responses that are queued behind another one. */
  close (): void {
    this.#connection.open.delete(this)
    for (const listener of this.#closeListeners.splice(0)) listener()
  }

  /**
   * @param writeHeaders - converts the caller's headers to those for the endpoint
   * @param body - request body that was read
   * @returns the request to send to the endpoint
   */
  toEndpoint (writeHeaders: (headers: readonly string[]) => string[], body: Buffer | undefined): EndpointRequest {
    const { method = 'GET', url: target = '/', rawHeaders } = this.request
    return { method, target, headers: writeHeaders(this.isRelayed ? withoutRelayHeader(rawHeaders) : rawHeaders), body }
  }

  /** Whether the request claims to be relayed by another host. */
  get isRelayed (): boolean { return this.request.headers[RELAY_HEADER] !== undefined }

  /** Whether this is the first request on its connection. */
  get isFirstOnConnection (): boolean { return this.#isFirstOnConnection }

  /** Whether an earlier response on this connection announced that it is the last one, so that this request can't be answered. */
  get isAfterLastResponse (): boolean { return this.#isAfterLastResponse }

  /** Whether the head of a response has been written. */
  get hasHead (): boolean { return this.#hasHead }
  /** Whether the response has ended, or the caller has disconnected. */
  get hasEnded (): boolean { return this.#hasEnded || this.#hasCallerLeft }

  /** Whether the response has ended or the caller is known to have disconnected. A disconnect that has not been read from the socket yet is not seen. */
  get isAbandoned (): boolean {
    return this.hasEnded || this.request.errored !== null || this.request.socket.destroyed
  }

  /**
   * Counts what the caller has not read from now on. The endpoint's response is then read on however slowly the caller reads.
   *
   * @param reader - counts the bytes
   */
  countUnread (reader: SlowReader): void {
    this.#reader = reader
    this.onClosed(() => { reader.close() })
  }

  /**
   * Counts the response while it waits for the caller to read.
   *
   * @param open - called before the first wait; returns what counts the caller
   */
  countWaiting (open: () => SlowReader): void {
    this.#openWaiting = open
  }

  /** @param listener - called once when the response has been handed to the operating system or the connection has closed */
  onClosed (listener: () => void): void {
    this.#closeListeners.push(listener)
  }

  /** @param listener - called once if the caller disconnects before the response is complete */
  onCallerLeft (listener: () => void): void {
    this.onClosed(() => {
      if (this.#hasEnded) return
      this.#hasCallerLeft = true
      listener()
    })
  }

  /**
   * Writes the head of an endpoint's response.
   *
   * @param status - status of the endpoint's response
   * @param headers - headers of the endpoint's response
   * @param isLengthFinal - whether the body will be as long as the headers say, because no other endpoint may continue it
   */
  writeHead (status: number, headers: readonly string[], isLengthFinal = true): void {
    this.#hasHead = true
    // Only a host itself may state that it has refused a relayed request.
    const kept = endToEndHeaders(headers, name => name === RELAY_REFUSED_HEADER || (!isLengthFinal && name === 'content-length'))
    if (this.#closesConnection()) kept.push('Connection', 'close')
    this.#hasLength = kept.some((name, at) => at % 2 === 0 && name.toLowerCase() === 'content-length')
    this.response.writeHead(status, kept)
  }

  /**
   * @param chunk - bytes of the response body
   * @returns false if the write buffer is full, because the caller reads too slowly; always true if its unread bytes are counted
   */
  write (chunk: Buffer): boolean {
    this.#lastWriteAt = performance.now()
    if (this.#reader === undefined) {
      const isReady = this.response.write(chunk)
      if (!isReady) this.#waits()
      return isReady
    }
    const release = this.#reader.hold(chunk.length)
    // The caller may have been cut just now.
    if (!this.hasEnded) this.response.write(chunk, release)
    return true
  }

  /** @param listener - called once when the write buffer has been drained */
  onceDrained (listener: () => void): void {
    this.response.once('drain', () => {
      this.#endWait()
      listener()
    })
  }

  /** Counts the response among those that wait for their callers, who may be cut. */
  #waits (): void {
    if (this.#openWaiting === undefined || this.#endsWait !== undefined || this.hasEnded) return
    if (this.#waiter === undefined) {
      const waiter = this.#openWaiting()
      this.#waiter = waiter
      this.onClosed(() => { waiter.close() })
    }
    this.#endsWait = this.#waiter.hold(WAITING_RESPONSE_BYTES)
  }

  #endWait (): void {
    this.#endsWait?.()
    this.#endsWait = undefined
  }

  /** Ends the response as complete. */
  end (): void {
    this.#hasEnded = true
    this.response.end()
  }

  /**
   * Writes a complete response of an endpoint.
   *
   * @param status - status of the endpoint's response
   * @param headers - headers of the endpoint's response
   * @param body - complete body
   */
  sendWhole (status: number, headers: readonly string[], body: Buffer): void {
    this.writeHead(status, headers)
    this.#hasEnded = true
    this.response.end(body)
    this.#reader?.hold(body.length)
  }

  /** Closes the connection in the middle of the response, so that the caller can't take it for complete. */
  abort (): void {
    // Without chunks, an orderly end of the connection can be the end of the response.
    if (this.#hasHead && !this.response.chunkedEncoding) return this.#hasLength ? this.reset() : this.#resetOnceRead()
    this.#hasEnded = true
    this.response.destroy()
  }

  /**
   * Resets the connection and discards what the caller has not read, also after the response has ended. An orderly end
   * would look complete to a caller that takes the end of the connection for the end of the response.
   */
  reset (): void {
    this.#hasEnded = true
    this.request.socket.resetAndDestroy()
  }

  /** Resets the connection after what was written has had time to be read. */
  #resetOnceRead (): void {
    this.#hasEnded = true
    const delayMs = this.#lastWriteAt + RESET_DELAY_MS - performance.now()
    if (delayMs <= 0) return this.reset()
    setTimeout(() => { this.reset() }, delayMs)
  }

  /**
   * Writes a refusal by this host as a problem document.
   *
   * @param refusal - reason, status, and whether the request may have been executed
   */
  refuse (refusal: Refusal): void {
    const body = Buffer.from(JSON.stringify(toProblem(refusal)))
    const headers = ['Content-Type', 'application/problem+json', 'Content-Length', String(body.length)]
    if (refusal.retryAfterSeconds !== undefined) headers.push('Retry-After', refusal.retryAfterSeconds.toFixed(2))
    if (this.isRelayed && refusal.run === 'not-run' && REASONS_OF_THIS_HOST.has(refusal.reason)) headers.push(RELAY_REFUSED_HEADER, refusal.reason)
    // Unread bytes of this request would be parsed as the next request.
    if (this.#closesConnection() || !this.request.complete) headers.push('Connection', 'close')
    if (this.#awaitsBody) this.#closeAfterReading()
    this.#hasHead = true
    this.#hasEnded = true
    this.response.writeHead(refusal.status, headers)
    this.response.end(body)
  }

  /**
   * Keeps the connection open for a while behind a response to a request of which the body is not complete, and discards
   * the rest. A connection that is closed with unread bytes is reset, and the reset can take the response with it.
   */
  #closeAfterReading (): void {
    const { request, request: { socket } } = this
    this.#connection.isClosing = true
    socket.destroySoon = () => {
      request.resume()
      socket.end()
      const timer = setTimeout(() => { socket.destroy() }, LAST_READ_MS).unref()
      socket.once('close', () => { clearTimeout(timer) })
    }
  }

  get #awaitsBody (): boolean {
    const { complete, headers } = this.request
    return !complete && (Number(headers['content-length'] ?? 0) > 0 || headers['transfer-encoding'] !== undefined)
  }

  /** Whether this response is the last one on the connection. It is not while further requests of a pipelining caller have been read, because those are answered first. */
  #closesConnection (): boolean {
    if (!this.shouldCloseConnections() || this.#connection.latest !== this) return false
    this.#connection.isClosing = true
    return true
  }
}

function openConnection (socket: Socket, first: CallerExchange): ConnectionState {
  const connection: ConnectionState = { latest: first, isClosing: false, open: new Set() }
  connectionStates.set(socket, connection)
  socket.once('close', () => { for (const exchange of [...connection.open]) exchange.close() })
  return connection
}

function withoutRelayHeader (headers: readonly string[]): string[] {
  return headers.filter((_, at) => headers[at - at % 2]?.toLowerCase() !== RELAY_HEADER)
}
