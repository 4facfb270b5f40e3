/** Answers questions that come in datagrams. */
import type { RemoteInfo } from 'node:dgram'
import { encodeFrame, decodeFrame, type DatagramFrame } from './datagramFrame.js'
import type { DatagramMethod } from './DatagramMethod.js'
import { bindSocket, openDatagramSocket } from './openDatagramSocket.js'

/** What becomes of datagrams, for metrics; else the name of the method that took one. */
export type DatagramServerOutcome = 'malformed' | 'unknown-kind' | 'socket-error'

interface RegisteredMethod {
  readonly name: string
  /**
   * Decodes a question.
   *
   * @returns what makes the answer; undefined answers nothing
   * @throws if it is malformed
   */
  decode (payload: Buffer): () => Uint8Array | undefined
}

/** Serves methods at one UDP port. */
export class DatagramServer {
  readonly #socket = openDatagramSocket()
  readonly #methods = new Map<number, RegisteredMethod>()

  /** @param count - counts datagrams by outcome */
  constructor (private readonly count: (outcome: string) => void = () => {}) {
    this.#socket.on('message', (bytes, sender) => { this.#receive(bytes, sender) })
    // A datagram that can't be sent is as good as one that was lost.
    this.#socket.on('error', () => { this.#countOutcome('socket-error') })
  }

  /**
   * Registers a method.
   *
   * @param method - what is asked
   * @param answer - makes the answer; undefined for a statement that needs none
   */
  handle<Request, Response> (method: DatagramMethod<Request, Response>, answer: (request: Request) => Response | undefined): void {
    this.#methods.set(method.kind, {
      name: method.name,
      decode: payload => {
        const request = method.request.decode(payload)
        return () => {
          const response = answer(request)
          return response === undefined ? undefined : method.response.encode(response)
        }
      }
    })
  }

  /**
   * Starts to listen.
   *
   * @param host - IP number
   * @param port - port
   * @throws if the port can't be bound
   */
  async listen (host: string, port: number): Promise<void> {
    await bindSocket(this.#socket, host, port)
  }

  /** Closes the port. */
  close (): void {
    this.#socket.close()
  }

  #receive (bytes: Buffer, sender: RemoteInfo): void {
    const frame = decodeFrame(bytes)
    const method = frame === undefined ? undefined : this.#methods.get(frame.kind)
    if (frame === undefined || method === undefined) {
      this.#countOutcome(frame === undefined ? 'malformed' : 'unknown-kind')
      return
    }
    const answer = this.#decode(method, frame)
    if (answer === undefined) {
      this.#countOutcome('malformed')
      return
    }
    this.count(method.name)
    const payload = answer()
    if (payload !== undefined) this.#socket.send(encodeFrame(frame.kind, frame.sequence, payload), sender.port, sender.address)
  }

  #decode (method: RegisteredMethod, { payload }: DatagramFrame): (() => Uint8Array | undefined) | undefined {
    try {
      return method.decode(payload)
    } catch {
      // Counted by the caller: the port may be reached by anybody's datagrams.
      return undefined
    }
  }

  #countOutcome (outcome: DatagramServerOutcome): void {
    this.count(outcome)
  }
}
