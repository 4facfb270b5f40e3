/** Asks questions in datagrams and takes the answers. */
import { randomInt } from 'node:crypto'
import type { RemoteInfo } from 'node:dgram'
import { encodeFrame, decodeFrame, SEQUENCE_RANGE } from './datagramFrame.js'
import type { DatagramMethod } from './DatagramMethod.js'
import { bindSocket, openDatagramSocket } from './openDatagramSocket.js'

/** What becomes of datagrams, for metrics. */
export type DatagramOutcome =
  | 'sent'
  | 'answered'
  /** It answers nothing that waits for an answer: it came late, twice, or from somebody who was not asked. */
  | 'unexpected'
  | 'malformed'
  | 'socket-error'

/** Time after which an answer is worth nothing any more, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1000

interface PendingRequest {
  readonly address: string
  readonly kind: number
  readonly askedAt: number
  /** Decodes an answer, and returns what hands it on; throws if it is malformed. */
  readonly decode: (payload: Buffer) => () => void
}

/** One socket of a host, for all its questions. */
export class DatagramClient {
  readonly #socket = openDatagramSocket()
  /** The oldest first. */
  readonly #pendingRequests = new Map<number, PendingRequest>()
  /** Begins anywhere, so that an answer to a former process at this address answers nothing. */
  #sequence = randomInt(SEQUENCE_RANGE)
  #isClosed = false

  /** @param count - counts outcomes */
  constructor (private readonly count: (outcome: DatagramOutcome) => void = () => {}) {
    this.#socket.on('message', (bytes, sender) => { this.#receive(bytes, sender) })
    // As good as a lost datagram.
    this.#socket.on('error', () => { this.count('socket-error') })
  }

  /** @param host - IP number to send from */
  async bind (host: string): Promise<void> {
    await bindSocket(this.#socket, host, 0)
  }

  /**
   * Asks once; there may never be an answer.
   *
   * @param address - IP number and port
   * @param method - what is asked
   * @param request - the question
   * @param onAnswer - takes the answer, with the monotonic milliseconds at which it was asked for
   */
  ask<Request, Response> (
    address: string, method: DatagramMethod<Request, Response>, request: Request, onAnswer: (response: Response, askedAt: number) => void
  ): void {
    const askedAt = performance.now()
    this.#discardSentBefore(askedAt - RESPONSE_TIMEOUT_MS)
    const sequence = this.#send(address, method, request)
    this.#pendingRequests.set(sequence, {
      address,
      kind: method.kind,
      askedAt,
      decode: payload => {
        const response = method.response.decode(payload)
        return () => { onAnswer(response, askedAt) }
      }
    })
  }

  /**
   * States something that is not answered.
   *
   * @param address - IP number and port
   * @param method - what is stated
   * @param request - the statement
   */
  tell<Request> (address: string, method: DatagramMethod<Request, unknown>, request: Request): void {
    this.#send(address, method, request)
  }

  /** Closes the socket; answers under way are lost. */
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
    const question = frame === undefined ? undefined : this.#pendingRequests.get(frame.sequence)
    const isExpected = question !== undefined && frame?.kind === question.kind && question.address === `${sender.address}:${sender.port}`
    if (frame === undefined || !isExpected) {
      this.count(frame === undefined ? 'malformed' : 'unexpected')
      return
    }
    this.#pendingRequests.delete(frame.sequence)
    const deliver = this.#decode(question, frame.payload)
    this.count(deliver === undefined ? 'malformed' : 'answered')
    deliver?.()
  }

  #decode (question: PendingRequest, payload: Buffer): (() => void) | undefined {
    try {
      return question.decode(payload)
    } catch {
      // Counted by the caller; whatever its sender meant, the next answer makes it good.
      return undefined
    }
  }

  #discardSentBefore (askedAt: number): void {
    for (const [sequence, question] of this.#pendingRequests) {
      if (question.askedAt >= askedAt) return
      this.#pendingRequests.delete(sequence)
    }
  }
}
