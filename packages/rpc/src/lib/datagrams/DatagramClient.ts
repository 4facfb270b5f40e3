/** Sends requests in datagrams and receives the responses. */
import { randomInt } from 'node:crypto'
import type { RemoteInfo } from 'node:dgram'
import { encodeFrame, decodeFrame, SEQUENCE_RANGE } from './datagramFrame.js'
import type { DatagramMethod } from './DatagramMethod.js'
import { bindSocket, openDatagramSocket } from './openDatagramSocket.js'

/** What happened to a datagram, for metrics. */
export type DatagramOutcome =
  | 'sent'
  | 'answered'
  /** The datagram matches no pending request: it is late, a duplicate, or not from the address that the request went to. */
  | 'unexpected'
  | 'malformed'
  | 'socket-error'

/** Time after which a response is useless and is ignored, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1000

interface PendingRequest {
  readonly address: string
  readonly kind: number
  readonly sentAt: number
  /** Decodes a response and returns a function that delivers it; throws if the response is malformed. */
  readonly decode: (payload: Buffer) => () => void
}

/** Sends all datagram requests of a host from one socket. */
export class DatagramClient {
  readonly #socket = openDatagramSocket()
  /** Pending requests by sequence number, the oldest first. */
  readonly #pendingRequests = new Map<number, PendingRequest>()
  /** Starts at a random number, so that a response to an earlier process at this address matches no request of this one. */
  #sequence = randomInt(SEQUENCE_RANGE)
  #isClosed = false

  /** @param count - called with the outcome of each datagram */
  constructor (private readonly count: (outcome: DatagramOutcome) => void = () => {}) {
    this.#socket.on('message', (bytes, sender) => { this.#receive(bytes, sender) })
    // A datagram that can't be sent is treated like a lost one.
    this.#socket.on('error', () => { this.count('socket-error') })
  }

  /** @param host - IP address to send from */
  async bind (host: string): Promise<void> {
    await bindSocket(this.#socket, host, 0)
  }

  /**
   * Sends a request once. The response may never come, since datagrams can be lost.
   *
   * @param address - IP address and port of the server
   * @param method - method to call
   * @param request - request message
   * @param onResponse - called with the response and the monotonic milliseconds at which the request was sent
   */
  ask<Request, Response> (
    address: string, method: DatagramMethod<Request, Response>, request: Request, onResponse: (response: Response, sentAt: number) => void
  ): void {
    const sentAt = performance.now()
    this.#discardSentBefore(sentAt - RESPONSE_TIMEOUT_MS)
    const sequence = this.#send(address, method, request)
    this.#pendingRequests.set(sequence, {
      address,
      kind: method.kind,
      sentAt,
      decode: payload => {
        const response = method.response.decode(payload)
        return () => { onResponse(response, sentAt) }
      }
    })
  }

  /**
   * Sends a message that has no response.
   *
   * @param address - IP address and port of the server
   * @param method - method to call
   * @param request - the message
   */
  tell<Request> (address: string, method: DatagramMethod<Request, unknown>, request: Request): void {
    this.#send(address, method, request)
  }

  /** Closes the socket; responses to pending requests are lost. */
  close (): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#pendingRequests.clear()
    this.#socket.close()
  }

  #send<Request> (address: string, method: DatagramMethod<Request, unknown>, request: Request): number {
    this.#sequence = (this.#sequence + 1) % SEQUENCE_RANGE
    const [host, port] = address.split(':')
    if (this.#isClosed || host === undefined || port === undefined) return this.#sequence
    this.#socket.send(encodeFrame(method.kind, this.#sequence, method.request.encode(request)), Number(port), host)
    this.count('sent')
    return this.#sequence
  }

  #receive (bytes: Buffer, sender: RemoteInfo): void {
    const frame = decodeFrame(bytes)
    const pending = frame === undefined ? undefined : this.#pendingRequests.get(frame.sequence)
    const isExpected = pending !== undefined && frame?.kind === pending.kind && pending.address === `${sender.address}:${sender.port}`
    if (frame === undefined || !isExpected) {
      this.count(frame === undefined ? 'malformed' : 'unexpected')
      return
    }
    this.#pendingRequests.delete(frame.sequence)
    const deliver = this.#decode(pending, frame.payload)
    this.count(deliver === undefined ? 'malformed' : 'answered')
    deliver?.()
  }

  #decode (pending: PendingRequest, payload: Buffer): (() => void) | undefined {
    try {
      return pending.decode(payload)
    } catch {
      // The caller counts it as malformed. No retry is needed: the next request replaces this one.
      return undefined
    }
  }

  #discardSentBefore (time: number): void {
    for (const [sequence, pending] of this.#pendingRequests) {
      if (pending.sentAt >= time) return
      this.#pendingRequests.delete(sequence)
    }
  }
}
