/**
 * Detection of connections that are reset inside a response.
 *
 * A response with neither a length nor chunks ends with its connection, and is incomplete if the connection was reset.
 * undici takes a reset for the end of such a response.
 */
import { connect, type Socket } from 'node:net'
import { Client, type buildConnector, type Dispatcher } from 'undici'
import { OverheadBound } from './OverheadBound.js'

/** The back end reset the connection inside a response. */
export class ResponseResetError extends Error {
  constructor () {
    super('the connection was reset inside the answer')
    this.name = 'ResponseResetError'
  }
}

/**
 * Must be called before undici gets the socket, so that a reset is known when undici handles it.
 *
 * @param socket - socket that has not been connected yet
 * @returns tells whether the connection has been reset
 */
export function watchForReset (socket: Socket): () => boolean {
  let wasReset = false
  socket.on('error', () => { wasReset = true })
  // A reset that arrives together with data is reported as an end. After a reset the
  // socket has no remote address; after an orderly end it still has one.
  socket.once('end', () => { wasReset ||= socket.remoteAddress === undefined })
  return () => wasReset
}

/** An undici client whose requests fail if their connection is reset inside the response, or brings too many bytes without content. */
export class ResetDetectingClient extends Client {
  readonly #connection: { wasReset: () => boolean, readonly overhead: OverheadBound }

  /**
   * @param origin - scheme, address and port
   * @param connectTimeoutMs - longest time to establish a connection, in milliseconds
   * @param options - further options of the client
   */
  constructor (origin: string, connectTimeoutMs: number, options: Omit<Client.Options, 'connect'> = {}) {
    const connection = { wasReset: () => false, overhead: new OverheadBound() }
    super(origin, {
      ...options,
      connect: (target, callback) => {
        const socket = connectSocket(target, connectTimeoutMs, callback)
        connection.wasReset = watchForReset(socket)
        connection.overhead.watch(socket)
      }
    })
    this.#connection = connection
  }

  override dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    const { overhead } = this.#connection
    return super.dispatch(options, {
      onConnect: (...connected) => {
        overhead.noteProgress()
        handler.onConnect?.(...connected)
      },
      onError: error => { handler.onError?.(error) },
      onHeaders: (status, headers, resume, statusText) => {
        overhead.noteProgress()
        return handler.onHeaders?.(status, headers, resume, statusText) ?? true
      },
      onData: chunk => {
        overhead.noteProgress()
        return handler.onData?.(chunk) ?? true
      },
      onComplete: trailers => {
        overhead.end()
        if (this.#connection.wasReset()) handler.onError?.(new ResponseResetError())
        else handler.onComplete?.(trailers)
      }
    })
  }
}

/**
 * Ends the attempt to connect after its timeout. Expired timers run before sockets are read, so the connection may
 * have been established while the event loop was blocked.
 *
 * @param socket - socket whose connect timeout has expired
 * @param error - error that the socket ends with
 */
export function destroyIfConnecting (socket: Socket, error: Error): void {
  setImmediate(() => { if (socket.connecting) socket.destroy(error) })
}

function connectSocket ({ hostname, port }: buildConnector.Options, timeoutMs: number, callback: buildConnector.Callback): Socket {
  const socket = connect({ host: hostname, port: Number(port), noDelay: true })
  const timer = setTimeout(() => { destroyIfConnecting(socket, Object.assign(new Error('no connection in time'), { syscall: 'connect' })) }, timeoutMs)
  const onError = (error: Error): void => {
    clearTimeout(timer)
    callback(error, null)
  }
  socket.once('error', onError)
  socket.once('connect', () => {
    clearTimeout(timer)
    socket.off('error', onError)
    callback(null, socket)
  })
  return socket
}
