/**
 * Errors of callers' connections to an HTTP server: bytes that are no request, heads that are too large or not complete in time.
 *
 * Node answers them by itself, with a status for the bytes that caused the error. A caller takes that for the response to
 * the request that is under way on the connection.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
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

/** Handles the errors of all connections of one server. */
export class ClientErrors {
  readonly #responses = new WeakMap<Socket, Set<ServerResponse>>()

  /**
   * @param server - server whose errors are handled
   * @param observe - called for each error while requests are under way on the connection
   */
  constructor (server: Server, private readonly observe: (error: ClientError) => void = () => {}) {
    const note = (_request: IncomingMessage, response: ServerResponse): void => { this.#note(response) }
    server.prependListener('request', note)
    server.prependListener('checkContinue', note)
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => { this.#handle(error, socket as Socket) })
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
    const status = socket.writable && !responses.some(({ headersSent }) => headersSent) ? STATUS_BY_CODE.get(code) ?? BAD_REQUEST : 0
    if (responses.length > 0) this.observe({ code, status, awaited: awaited.map(({ req }) => req) })
    if (status !== 0) socket.write(`HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? ''}\r\nConnection: close\r\n\r\n`)
    socket.destroy(error)
  }
}
