/**
 * One connection to an endpoint, which carries one request at a time.
 *
 * It is an undici client with a single socket. The socket is created here, so that
 * a connection reset can be distinguished from an orderly end: a response without a
 * length ends with its connection, and is incomplete if the connection was reset.
 */
import { connect, type Socket } from 'node:net'
import { Client, errors, type buildConnector } from 'undici'
import { ResponseAttribution } from '@eelgrassmux/routing/attempts/ResponseAttribution'
import { InvalidStatusError, isFinalStatus } from '@eelgrassmux/schema/httpStatus'
import { OverheadBound } from '@eelgrassmux/backends/OverheadBound'
import { ResponseResetError, destroyIfConnecting, watchForReset } from '@eelgrassmux/backends/resetDetection'
import type { ReadSlices } from './ReadSlices.js'

/** A request as it is sent to an endpoint. */
export interface EndpointRequest {
  readonly method: string
  readonly target: string
  readonly headers: string[]
  readonly body: Buffer | undefined
}

/** Receives a response as it arrives. */
export interface ResponseHandler {
  /**
   * Called before the first byte of the request may be sent.
   *
   * @returns false if nothing may be sent any more; the connection is then closed and the request fails
   */
  sending (): boolean
  /**
   * @param resume - resumes reading after {@link ResponseHandler.data} returned false
   */
  head (status: number, headers: string[], resume: () => void): void
  /** @returns false to pause reading */
  data (chunk: Buffer): boolean
  complete (): void
  failed (error: Error): void
  /**
   * Called if the endpoint has not taken the whole request from this host's memory after it was sent.
   *
   * @param bytes - bytes that it has not taken
   * @returns called once it has taken them, or the connection has closed
   */
  unread? (bytes: number): () => void
}

/** Cancels a request. The endpoint learns of it because the connection closes. */
export type CancelRequest = () => void

/** Connect timeout, in milliseconds. The round trip takes about a millisecond, and TCP would repeat a lost SYN only after a second. */
const CONNECT_TIMEOUT_MS = 200

/** Idle time after which a connection is not reused if the endpoint states no limit, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 4000

/** Subtracted from the idle limit that an endpoint states, in milliseconds, so that a request arrives before the endpoint closes the connection. */
const IDLE_MARGIN_MS = 700

/** Memory of a byte that has arrived and is not read, in bytes: the runtime keeps whole blocks, parts of which have been read. */
const MEMORY_PER_UNREAD_BYTE = 2

/**
 * @param error - error of a request
 * @returns whether the HTTP client refuses to write the request, which says nothing about the endpoint
 */
export function isUnsendable (error: Error): boolean {
  return error instanceof errors.InvalidArgumentError || error instanceof errors.NotSupportedError
}

/** A connection that is opened by its first request. */
export class EndpointConnection {
  readonly #client: Client
  #socket: Socket | undefined
  #wasReset: () => boolean = () => false
  readonly #overhead = new OverheadBound()
  #isClosed = false
  #responses = 0
  readonly #openedAt = performance.now()
  #lastByteAt = Number.NEGATIVE_INFINITY
  /** When the connection was last given back to its pool, in monotonic milliseconds. */
  idleSince = Number.NEGATIVE_INFINITY
  /** Whether responses belong to the requests of this connection. */
  readonly attribution = new ResponseAttribution()

  /**
   * @param address - IP address and port
   * @param onClose - called once when the connection has closed
   * @param onEstablished - called when the connection is established, with the milliseconds that it took
   * @param slices - divides the time of the event loop among endpoints; absent if responses never pause for others
   */
  constructor (
    private readonly address: string, private readonly onClose: (connection: EndpointConnection) => void, private readonly onEstablished: (milliseconds: number) => void = () => {}, private readonly slices?: ReadSlices
  ) {
    this.#client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (options, callback) => { this.#connect(options, callback) }
    })
    this.#client.on('disconnect', () => { this.close() })
    this.#client.on('connectionError', () => { this.close() })
  }

  /** Number of responses of which at least the head has come. */
  get responses (): number { return this.#responses }

  /** Local port of the connection; 0 before it is established. */
  get localPort (): number { return this.#socket?.localPort ?? 0 }

  /** Whether another request can be sent on this connection. */
  get isUsable (): boolean { return !this.#isClosed }

  /** @returns whether the connection was open at the given time, in monotonic milliseconds, and has brought nothing of a response since */
  isSilentSince (at: number): boolean { return this.#openedAt < at && this.#lastByteAt < at }

  /**
   * Sends a request and reads the response.
   *
   * @param request - request to send
   * @param handler - receives the response
   * @returns cancels the request
   */
  send (request: EndpointRequest, handler: ResponseHandler): CancelRequest {
    let hasEnded = false
    let readOn = (): void => {}
    let abortRequest: (error: Error) => void = () => {}
    this.#client.dispatch({
      method: request.method as 'GET',
      path: request.target,
      headers: request.headers,
      body: request.body ?? null
    }, {
      onConnect: abort => {
        abortRequest = abort
        this.#overhead.noteProgress()
        if (!handler.sending()) {
          abort(new Error('the request may not be sent any more'))
          return
        }
        // The request is written after this callback, in the same turn.
        if (request.body !== undefined) queueMicrotask(() => { this.#reportUnread(handler) })
      },
      onHeaders: (status: number, headers: Buffer[], resume: () => void) => {
        if (status < 200) return true
        if (!isFinalStatus(status)) {
          abortRequest(new InvalidStatusError(status))
          return false
        }
        readOn = () => { this.#readOn(resume) }
        this.#overhead.noteProgress()
        this.#responses += 1
        this.#lastByteAt = performance.now()
        handler.head(status, headers.map(header => header.toString('latin1')), readOn)
        const hasTime = this.slices?.count(this.address, 0) ?? true
        if (!hasTime) readOn()
        return hasTime
      },
      onData: (chunk: Buffer) => {
        this.#overhead.noteProgress()
        this.#lastByteAt = performance.now()
        const isReady = handler.data(chunk)
        const hasTime = this.slices?.count(this.address, chunk.length) ?? true
        // A response that waits for its caller reads on when the caller has.
        if (isReady && !hasTime) readOn()
        return isReady && hasTime
      },
      onComplete: () => {
        hasEnded = true
        this.#overhead.end()
        if (this.#wasReset()) handler.failed(new ResponseResetError())
        else handler.complete()
      },
      onError: (error: Error) => {
        hasEnded = true
        handler.failed(error)
      }
    })
    return () => {
      if (!hasEnded) this.close()
    }
  }

  #readOn (resume: () => void): void {
    if (this.slices === undefined) resume()
    else this.slices.resumeInTurn(this.address, { resume, cut: () => { this.close() }, unreadBytes: () => MEMORY_PER_UNREAD_BYTE * (this.#socket?.readableLength ?? 0) })
  }

  /** Closes the connection at once; a pending request fails. */
  close (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.onClose(this)
    void this.#client.destroy()
  }

  /** Remainders below the buffer limit of the socket, 16 KiB, are not reported, because the socket does not say when they are written. */
  #reportUnread (handler: ResponseHandler): void {
    const socket = this.#socket
    if (socket === undefined || socket.destroyed || !socket.writableNeedDrain) return
    const release = handler.unread?.(socket.writableLength)
    if (release === undefined) return
    const done = (): void => {
      socket.off('drain', done)
      socket.off('close', done)
      release()
    }
    socket.on('drain', done)
    socket.on('close', done)
  }

  #connect (options: buildConnector.Options, callback: buildConnector.Callback): void {
    const startedAt = performance.now()
    const socket = connect({ host: options.hostname, port: Number(options.port), noDelay: true })
    this.#socket = socket
    this.#wasReset = watchForReset(socket)
    this.#overhead.watch(socket)
    const timer = setTimeout(() => { destroyIfConnecting(socket, new Error('no connection in time')) }, CONNECT_TIMEOUT_MS)
    let isSettled = false
    const settle = (error: Error | undefined, connected: Socket | undefined): void => {
      if (isSettled) return
      isSettled = true
      clearTimeout(timer)
      if (connected === undefined) callback(error ?? new Error('not connected'), null)
      else callback(null, connected)
    }
    socket.on('error', error => { settle(error, undefined) })
    socket.once('connect', () => {
      this.onEstablished(performance.now() - startedAt)
      // On a busy host, a caller's disconnect may be read one turn after this event; the request must not be sent then.
      setImmediate(() => { setImmediate(() => { settle(undefined, socket) }) })
    })
  }
}
