/** An endpoint that answers as a test wants. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { PLAIN_HEADERS } from './PlainCodec.js'

/** What an endpoint does with a request that it has read. */
export type Behaviour = (request: IncomingMessage, response: ServerResponse, body: string) => void

/** The endpoint. */
export class FakeEndpoint {
  readonly receivedRequests: Array<{ readonly method: string, readonly target: string, readonly body: string, readonly headers: IncomingMessage['headers'] }> = []
  closedEarly = 0
  readonly #seenWaiters: Array<() => void> = []
  readonly #responses = new Set<ServerResponse>()
  #server: Server | undefined

  constructor (readonly id: string, public behaviour: Behaviour) {}

  async listen (): Promise<ListedEndpoint> {
    const server = createServer((request, response) => {
      const chunks: Buffer[] = []
      response.on('close', () => { if (!response.writableEnded) this.closedEarly += 1 })
      request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      request.on('end', () => {
        const body = Buffer.concat(chunks).toString()
        this.receivedRequests.push({ method: request.method ?? '', target: request.url ?? '', body, headers: request.headers })
        this.#responses.add(response)
        this.behaviour(request, response, body)
        for (const wake of this.#seenWaiters.splice(0)) wake()
      })
    })
    this.#server = server
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    return { id: this.id, service: 'app', address, dataCentre: 'n', slots: 4, isLeaving: false, isBusy: false, models: [] }
  }

  /** Resolves when the next request has come. */
  async nextRequest (): Promise<void> {
    await new Promise<void>(resolve => { this.#seenWaiters.push(resolve) })
  }

  /** Ends all answers that have begun. */
  finishStreams (): void {
    for (const response of this.#responses) {
      if (response.headersSent) response.end()
    }
  }

  close (): void {
    this.#server?.closeAllConnections()
    this.#server?.close()
  }
}

/** One numbered event of a stream. */
export const streamEvent = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`

/** Answers with what was asked. */
export const respondOk: Behaviour = (request, response, body) => {
  response.writeHead(200, { [PLAIN_HEADERS.id]: request.headers[PLAIN_HEADERS.id] ?? '', 'x-stamp': 's1' })
  response.end(`${request.method ?? ''} ${request.url ?? ''} ${body}`)
}

/** Says that it did not run the request. */
export const rejectNotExecuted: Behaviour = (_request, response) => {
  response.writeHead(503, { [PLAIN_HEADERS.notRun]: '1' })
  response.end()
}

/** Breaks the connection off. */
export const resetConnection: Behaviour = request => { request.socket.resetAndDestroy() }
