/** An endpoint whose behaviour is set by a test. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { PLAIN_HEADERS } from './PlainCodec.js'

/** Path at which endpoints answer health checks, which count as no requests. */
export const HEALTH_PATH = '/health'

/** Handles a request after its body has been read. */
export type Behaviour = (request: IncomingMessage, response: ServerResponse, body: string) => void

/** An HTTP server that records its requests and handles them with a given behaviour. */
export class FakeEndpoint {
  readonly receivedRequests: Array<{ readonly method: string, readonly target: string, readonly body: string, readonly headers: IncomingMessage['headers'] }> = []
  abortedResponses = 0
  readonly #requestWaiters: Array<() => void> = []
  readonly #responses = new Set<ServerResponse>()
  #server: Server | undefined

  /**
   * @param id - id in the list
   * @param behaviour - handles all requests
   * @param software - version of its software in the list; none by default
   */
  constructor (readonly id: string, public behaviour: Behaviour, private readonly software?: string) {}

  async listen (): Promise<ListedEndpoint> {
    const server = createServer((request, response) => {
      if (request.url === HEALTH_PATH) {
        response.end()
        return
      }
      const chunks: Buffer[] = []
      response.on('close', () => { if (!response.writableEnded) this.abortedResponses += 1 })
      request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      request.on('end', () => {
        const body = Buffer.concat(chunks).toString()
        this.receivedRequests.push({ method: request.method ?? '', target: request.url ?? '', body, headers: request.headers })
        this.#responses.add(response)
        this.behaviour(request, response, body)
        for (const wake of this.#requestWaiters.splice(0)) wake()
      })
    })
    this.#server = server
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    return { id: this.id, service: 'app', address, dataCentre: 'n', slots: 4, isLeaving: false, isBusy: false, models: [], ...(this.software === undefined ? {} : { software: this.software }) }
  }

  /** Resolves when the next request has been received. */
  async nextRequest (): Promise<void> {
    await new Promise<void>(resolve => { this.#requestWaiters.push(resolve) })
  }

  /** Ends all responses that have begun. */
  endResponses (): void {
    for (const response of this.#responses) {
      if (response.headersSent) response.end()
    }
  }

  /** Breaks all connections, as a crash does. */
  abortConnections (): void {
    this.#server?.closeAllConnections()
  }

  close (): void {
    this.#server?.closeAllConnections()
    this.#server?.close()
  }
}

/** Returns a stream event with an id. */
export const streamEvent = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`

/** Responds with a summary of the request. */
export const respondOk: Behaviour = (request, response, body) => {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '', 'x-stamp': 's1' })
  response.end(`${request.method ?? ''} ${request.url ?? ''} ${body}`)
}

/** Rejects the request, stating that it was not executed. */
export const rejectNotExecuted: Behaviour = (request, response) => {
  response.writeHead(503, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '', [PLAIN_HEADERS.notRun]: '1' })
  response.end()
}

/** Resets the connection. */
export const resetConnection: Behaviour = request => { request.socket.resetAndDestroy() }
