/**
 * Errors of callers' connections to an HTTP server: bytes that are no request, heads that are too large or not complete in time.
 *
 * By default, Node answers them at once with a status for the bytes that caused the error. A caller takes that for the
 * response to the request that is pending on the connection, and 408 states that this request will never be executed.
 */
import { Server, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** An error of one connection. */
export interface ClientError {
  /** Code of the error, such as `HPE_HEADER_OVERFLOW`. */
  readonly code: string
  /** Status that was written, 0 if none. */
  readonly status: number
  /** Requests that were read completely and have no complete response, in the order of their arrival. */
  readonly awaited: readonly IncomingMessage[]
}

const BAD_REQUEST = 400

/** Reason phrases of the statuses that this module writes. */
const REASON_PHRASES: Readonly<Record<number, string>> = { 400: 'Bad Request', 408: 'Request Timeout', 413: 'Payload Too Large', 431: 'Request Header Fields Too Large' }

const STATUS_BY_CODE: ReadonlyMap<string, number> = new Map([['ERR_HTTP_REQUEST_TIMEOUT', 408], ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413], ['HPE_HEADER_OVERFLOW', 431]])

/** The caller has closed its side of the connection inside a request. */
const CLOSED_BY_CALLER = 'HPE_INVALID_EOF_STATE'

/** Handles the errors of all connections of one server. */
export class ClientErrors {
  readonly #responses = new WeakMap<Socket, Set<ServerResponse>>()
  readonly #ending = new WeakSet<Socket>()

  /**
   * @param server - server whose errors are handled
   * @param observe - called for each error while requests are pending on the connection
   */
  constructor (server: Server, private readonly observe: (error: ClientError) => void = () => {}) {
    const note = (_request: IncomingMessage, response: ServerResponse): void => { this.#note(response) }
    server.prependListener('request', note)
    server.prependListener('checkContinue', note)
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => { this.#handle(error, socket as Socket) })
  }

  /**
   * @param socket - connection of a caller
   * @returns whether it closes after the responses to the requests that had been read before an error
   */
  isEnding (socket: Socket): boolean {
    return this.#ending.has(socket)
  }

  #note (response: ServerResponse): void {
    const { socket } = response.req
    const responses = this.#responses.get(socket) ?? new Set()
    this.#responses.set(socket, responses)
    responses.add(response)
    response.on('close', () => { responses.delete(response) })
  }

  #handle (error: NodeJS.ErrnoException, socket: Socket): void {
    const responses = [...this.#responses.get(socket) ?? []]
    const awaited = responses.filter(({ req }) => req.complete)
    const code = error.code ?? ''
    if (this.#ending.has(socket) && socket.writable) return
    // As behind a complete request, a caller that closes its side is taken to have left.
    const hasLeft = code === CLOSED_BY_CALLER && responses.length > 0
    const isAnswered = hasLeft || awaited.length > 0 || responses.some(({ headersSent }) => headersSent)
    const status = socket.writable && !isAnswered ? STATUS_BY_CODE.get(code) ?? BAD_REQUEST : 0
    if (responses.length > 0) this.observe({ code, status, awaited: awaited.map(({ req }) => req) })
    const last = awaited.at(-1)
    if (last !== undefined && socket.writable && !hasLeft) {
      this.#endAfter(last, socket)
      return
    }
    if (status !== 0) socket.write(`HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? ''}\r\nConnection: close\r\n\r\n`)
    socket.destroy(error)
  }

  /** Closes the connection once a response and those before it are complete. Responses are written in the order of the requests. */
  #endAfter (response: ServerResponse, socket: Socket): void {
    this.#ending.add(socket)
    if (!response.headersSent) response.shouldKeepAlive = false
    response.once('finish', () => { socket.destroySoon() })
  }
}

/**
 * @param server - server of a library, if it listens already
 * @returns the handler of its errors; undefined if it is no HTTP/1 server of Node
 */
export function handleClientErrors (server: unknown): ClientErrors | undefined {
  return server instanceof Server ? new ClientErrors(server) : undefined
}
