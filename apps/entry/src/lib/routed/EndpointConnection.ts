/**
 * One connection to an endpoint. It carries one request at a time.
 *
 * Built on an undici client with a single socket. The socket is made here, so
 * that a reset can be told from an orderly end: an answer without a length ends
 * with its connection, and one that was reset is not complete.
 */
import { connect, type Socket } from 'node:net'
import { Client, type buildConnector } from 'undici'

/** A request as it is sent. */
export interface EndpointRequest {
  readonly method: string
  readonly target: string
  readonly headers: string[]
  readonly body: Buffer | undefined
}

/** Told of the answer as it comes in. */
export interface ResponseHandler {
  /** The first byte of the request may leave from now on. */
  sending (): void
  /**
   * @param resume - goes on after {@link ResponseHandler.data} asked to pause
   */
  head (status: number, headers: string[], resume: () => void): void
  /** @returns false to pause */
  data (chunk: Buffer): boolean
  complete (): void
  failed (error: Error): void
}

/** Ends a request; its endpoint notices by the closed connection. */
export type CancelRequest = () => void

/** Longest wait for a connection, in milliseconds: hosts are a millisecond apart, and a lost first packet is sent again after a second. */
const CONNECT_TIMEOUT_MS = 200

/** Idle time after which a connection without a stated limit is not used again, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 4000

/** Taken off the idle limit that an endpoint states, in milliseconds: a request must arrive before the endpoint closes. */
const IDLE_MARGIN_MS = 700

/** Raised when the endpoint resets a connection inside an answer. */
class AnswerReset extends Error {
  constructor () {
    super('the connection was reset inside the answer')
    this.name = 'AnswerReset'
  }
}

/** A connection that is opened with its first request. */
export class EndpointConnection {
  readonly #client: Client
  #wasReset = false
  #isClosed = false

  /**
   * @param address - IP number and port
   * @param onClose - called once when the connection is gone
   */
  constructor (address: string, private readonly onClose: (connection: EndpointConnection) => void) {
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

  /** Whether a further request can be sent on it. */
  get isUsable (): boolean { return !this.#isClosed }

  /**
   * Sends a request and reads its answer.
   *
   * @param request - what to send
   * @param handler - told of the answer
   * @returns ends the request early
   */
  send (request: EndpointRequest, handler: ResponseHandler): CancelRequest {
    let hasEnded = false
    this.#client.dispatch({
      method: request.method as 'GET',
      path: request.target,
      headers: request.headers,
      body: request.body ?? null
    }, {
      onConnect: () => { handler.sending() },
      onHeaders: (status: number, headers: Buffer[], resume: () => void) => {
        if (status >= 200) handler.head(status, headers.map(header => header.toString('latin1')), resume)
        return true
      },
      onData: (chunk: Buffer) => handler.data(chunk),
      onComplete: () => {
        hasEnded = true
        if (this.#wasReset) handler.failed(new AnswerReset())
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

  /** Closes at once; a request under way fails. */
  close (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.onClose(this)
    void this.#client.destroy()
  }

  #connect (options: buildConnector.Options, callback: buildConnector.Callback): void {
    const socket = connect({ host: options.hostname, port: Number(options.port), noDelay: true })
    const timer = setTimeout(() => { socket.destroy(new Error('no connection in time')) }, CONNECT_TIMEOUT_MS)
    let isSettled = false
    const settle = (error: Error | undefined, connected: Socket | undefined): void => {
      if (isSettled) return
      isSettled = true
      clearTimeout(timer)
      if (connected === undefined) callback(error ?? new Error('not connected'), null)
      else callback(null, connected)
    }
    socket.on('error', error => {
      // Noted before the client looks: it takes a reset for the end of an answer without a length.
      this.#wasReset = true
      settle(error, undefined)
    })
    // A reset that comes together with bytes is reported as an end. A connection that was
    // reset has no peer any more, one that ended in order still has.
    socket.once('end', () => { this.#wasReset ||= socket.remoteAddress === undefined })
    // A busy host hears of its caller's leaving a turn after the connection: nothing is to be sent then.
    socket.once('connect', () => { setImmediate(() => { setImmediate(() => { settle(undefined, socket) }) }) })
  }
}
