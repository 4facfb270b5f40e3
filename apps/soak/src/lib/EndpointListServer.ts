/** Serves the list of endpoints to the control hosts. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'

const HOST = '127.0.0.1'

/** Holds the list by slot, so that a new incarnation takes the place of the one before. */
export class EndpointListServer {
  readonly #endpoints = new Map<string, ListedEndpoint>()
  readonly #server: Server = createServer((_request, response) => { response.end(JSON.stringify([...this.#endpoints.values()])) })

  get endpoints (): Iterable<ListedEndpoint> { return this.#endpoints.values() }

  /** @returns its address, once it listens */
  async listen (): Promise<string> {
    await new Promise<void>(resolve => { this.#server.listen(0, HOST, resolve) })
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`
  }

  /**
   * @param slot - whose place it takes
   * @param endpoint - as it is listed from now on
   */
  put (slot: string, endpoint: ListedEndpoint): void {
    this.#endpoints.set(slot, endpoint)
  }

  /** @param id - incarnation that is not cold any more */
  markWarm (id: string): void {
    this.#change(id, { isCold: false })
  }

  /** @param id - incarnation that leaves */
  markLeaving (id: string): void {
    this.#change(id, { isLeaving: true })
  }

  /**
   * @param id - incarnation
   * @param model - whose weights it holds
   * @param version - that it holds now
   */
  setWeights (id: string, model: string, version: number): void {
    this.#change(id, { models: [{ model, version }] })
  }

  /** Closes. */
  close (): void {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  #change (id: string, change: Partial<ListedEndpoint>): void {
    for (const [slot, endpoint] of this.#endpoints) {
      if (endpoint.id === id) this.#endpoints.set(slot, { ...endpoint, ...change })
    }
  }
}
