/** Serves methods whose requests arrive in datagrams. */
import type { RemoteInfo } from 'node:dgram'
import { encodeFrame, decodeFrame, type DatagramFrame } from './datagramFrame.js'
import type { DatagramMethod } from './DatagramMethod.js'
import { bindSocket, openDatagramSocket } from './openDatagramSocket.js'

/** Why a datagram was not served, for metrics. A served datagram is counted under the name of its method. */
export type DatagramServerOutcome = 'malformed' | 'unknown-kind' | 'socket-error'

interface RegisteredMethod {
  readonly name: string
  /**
   * Decodes a request.
   *
   * @returns a function that handles the request, and passes the encoded response to the given function at any time, or never
   * @throws if the request is malformed
   */
  decode (payload: Buffer): (send: (response: Uint8Array) => void) => void
}

/** Serves methods on one UDP port. */
export class DatagramServer {
  readonly #socket = openDatagramSocket()
  readonly #methods = new Map<number, RegisteredMethod>()
  #isClosed = false

  /** @param count - called for each datagram with its outcome or the name of its method */
  constructor (private readonly count: (outcome: string) => void = () => {}) {
    this.#socket.on('message', (bytes, sender) => { this.#receive(bytes, sender) })
    // A datagram that can't be sent is treated like a lost one.
    this.#socket.on('error', () => { this.#countOutcome('socket-error') })
  }

  /**
   * Registers a method.
   *
   * @param method - method to serve
   * @param handler - returns the response, or undefined if the message needs none
   */
  handle<Request, Response> (method: DatagramMethod<Request, Response>, handler: (request: Request) => Response | undefined): void {
    this.#methods.set(method.kind, {
      name: method.name,
      decode: payload => {
        const request = method.request.decode(payload)
        return send => {
          const response = handler(request)
          if (response !== undefined) send(method.response.encode(response))
        }
      }
    })
  }

  /**
   * Registers a method whose responses may be sent later. The client ignores a response that comes more than a second after its request.
   *
   * @param method - method to serve
   * @param handler - takes the request, and a function that sends the response; a response after the server is closed is dropped
   */
  handleLater<Request, Response> (method: DatagramMethod<Request, Response>, handler: (request: Request, respond: (response: Response) => void) => void): void {
    this.#methods.set(method.kind, {
      name: method.name,
      decode: payload => {
        const request = method.request.decode(payload)
        return send => { handler(request, response => { send(method.response.encode(response)) }) }
      }
    })
  }

  /**
   * Starts to listen.
   *
   * @param host - IP address
   * @param port - port
   * @throws if the port can't be bound
   */
  async listen (host: string, port: number): Promise<void> {
    await bindSocket(this.#socket, host, port)
  }

  /** Closes the port. */
  close (): void {
    this.#isClosed = true
    this.#socket.close()
  }

  #receive (bytes: Buffer, sender: RemoteInfo): void {
    const frame = decodeFrame(bytes)
    const method = frame === undefined ? undefined : this.#methods.get(frame.kind)
    if (frame === undefined || method === undefined) {
      this.#countOutcome(frame === undefined ? 'malformed' : 'unknown-kind')
      return
    }
    const serve = this.#decode(method, frame)
    if (serve === undefined) {
      this.#countOutcome('malformed')
      return
    }
    this.count(method.name)
    serve(response => {
      if (!this.#isClosed) this.#socket.send(encodeFrame(frame.kind, frame.sequence, response), sender.port, sender.address)
    })
  }

  #decode (method: RegisteredMethod, { payload }: DatagramFrame): ReturnType<RegisteredMethod['decode']> | undefined {
    try {
      return method.decode(payload)
    } catch {
      // The caller counts it as malformed: any sender can reach this port.
      return undefined
    }
  }

  #countOutcome (outcome: DatagramServerOutcome): void {
    this.count(outcome)
  }
}
