/** One request of a caller and the answer to it, on the caller's connection. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Refusal } from '@eelgrassmux/schema/Refusal'
import { toProblem } from '../callers/problem.js'
import type { EndpointRequest } from './EndpointConnection.js'
import { endToEndHeaders } from './headers.js'

/** What the requests of one connection have to know of each other. */
interface ConnectionState {
  /** The request that came last. */
  latest: CallerExchange
  /** Whether an answer said that it is the last one. */
  isClosing: boolean
}

const connectionStates = new WeakMap<Socket, ConnectionState>()

/** The caller's side of a routed request. */
export class CallerExchange {
  #hasHead = false
  #hasEnded = false
  #hasCallerLeft = false
  readonly #isAfterLastResponse: boolean
  readonly #connection: ConnectionState
  readonly #isFirstOnConnection: boolean

  /**
   * @param request - the caller's request
   * @param response - the answer to it
   * @param shouldCloseConnections - whether callers should use other connections from now on
   */
  constructor (
    readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly shouldCloseConnections: () => boolean
  ) {
    response.sendDate = false
    const known = connectionStates.get(request.socket)
    this.#isFirstOnConnection = known === undefined
    this.#connection = known ?? { latest: this, isClosing: false }
    this.#isAfterLastResponse = this.#connection.isClosing
    this.#connection.latest = this
    connectionStates.set(request.socket, this.#connection)
  }

  /**
   * @param writeHeaders - makes the endpoint's headers of the caller's
   * @param body - that was read
   * @returns the request as it goes on
   */
  toEndpoint (writeHeaders: (headers: readonly string[]) => string[], body: Buffer | undefined): EndpointRequest {
    const { method = 'GET', url: target = '/', rawHeaders } = this.request
    return { method, target, headers: writeHeaders(rawHeaders), body }
  }

  /** Whether the caller made a connection for this request. */
  get isFirstOnConnection (): boolean { return this.#isFirstOnConnection }

  /** Whether an earlier answer on this connection was the last: no answer to this request can be sent any more. */
  get isAfterLastResponse (): boolean { return this.#isAfterLastResponse }

  /** Whether part of an answer was passed on. */
  get hasHead (): boolean { return this.#hasHead }
  /** Whether the answer is complete, or nobody waits for it any more. */
  get hasEnded (): boolean { return this.#hasEnded || this.#hasCallerLeft }

  /** Whether the caller has closed its side before it got an answer, as far as the sockets have been read. */
  get isAbandoned (): boolean {
    return this.hasEnded || this.request.errored !== null || this.request.socket.destroyed
  }

  /** @param listener - called once when the answer has been handed to the system or the connection is gone */
  onClosed (listener: () => void): void {
    this.response.on('close', listener)
  }

  /** @param listener - called once if the caller leaves before the answer is complete */
  onCallerLeft (listener: () => void): void {
    this.response.on('close', () => {
      if (this.#hasEnded) return
      this.#hasCallerLeft = true
      listener()
    })
  }

  /**
   * Passes on the head of an endpoint's answer.
   *
   * @param status - as the endpoint answered
   * @param headers - as the endpoint answered
   */
  writeHead (status: number, headers: readonly string[]): void {
    this.#hasHead = true
    const kept = endToEndHeaders(headers)
    if (this.#closesConnection()) kept.push('Connection', 'close')
    this.response.writeHead(status, kept)
  }

  /**
   * @param chunk - bytes of the answer
   * @returns false if the caller reads more slowly than they come
   */
  write (chunk: Buffer): boolean {
    return this.response.write(chunk)
  }

  /** @param listener - called once when more can be written */
  onceDrained (listener: () => void): void {
    this.response.once('drain', listener)
  }

  /** Ends the answer as complete. */
  end (): void {
    this.#hasEnded = true
    this.response.end()
  }

  /**
   * Answers with a whole answer of an endpoint.
   *
   * @param status - as the endpoint answered
   * @param headers - as the endpoint answered
   * @param body - whole body
   */
  sendWhole (status: number, headers: readonly string[], body: Buffer): void {
    this.writeHead(status, headers)
    this.#hasEnded = true
    this.response.end(body)
  }

  /** Breaks an answer off, so that it can't be taken for complete. */
  abort (): void {
    this.#hasEnded = true
    this.response.destroy()
  }

  /**
   * Answers with a refusal of this host.
   *
   * @param refusal - reason, status, and whether the request ran
   */
  refuse (refusal: Refusal): void {
    const body = Buffer.from(JSON.stringify(toProblem(refusal)))
    const headers = ['Content-Type', 'application/problem+json', 'Content-Length', String(body.length)]
    if (refusal.retryAfterSeconds !== undefined) headers.push('Retry-After', refusal.retryAfterSeconds.toFixed(2))
    // Bytes of the request that were not read would be taken for the next one.
    if (this.#closesConnection() || !this.request.complete) headers.push('Connection', 'close')
    this.#hasHead = true
    this.#hasEnded = true
    this.response.writeHead(refusal.status, headers)
    this.response.end(body)
  }

  /** A caller may have sent further requests behind this one; they were read and are answered first. */
  #closesConnection (): boolean {
    if (!this.shouldCloseConnections() || this.#connection.latest !== this) return false
    this.#connection.isClosing = true
    return true
  }
}
