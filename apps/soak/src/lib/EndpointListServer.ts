/** Serves the list of endpoints to the control hosts. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'

const HOST = '127.0.0.1'

/** Stores the list by slot, so that a new incarnation replaces the previous one. */
export class EndpointListServer {
  readonly #endpoints = new Map<string, ListedEndpoint>()
  readonly #server: Server = createServer((_request, response) => { response.end(JSON.stringify([...this.#endpoints.values()])) })

  get endpoints (): Iterable<ListedEndpoint> { return this.#endpoints.values() }

  /** @returns the address on which the server listens */
  async listen (): Promise<string> {
    await new Promise<void>(resolve => { this.#server.listen(0, HOST, resolve) })
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`
  }

  /**
   * Adds the endpoint of a slot, or replaces it.
   *
   * @param slot - name of the slot
   * @param endpoint - entry for the list
   */
  put (slot: string, endpoint: ListedEndpoint): void {
    this.#endpoints.set(slot, endpoint)
  }

  /** @param slot - name of a slot whose entry is no longer listed */
  remove (slot: string): void {
    this.#endpoints.delete(slot)
  }

  /**
   * @param id - incarnation
   * @returns its entry; undefined if there is none
   */
  find (id: string): ListedEndpoint | undefined {
    return [...this.#endpoints.values()].find(endpoint => endpoint.id === id)
  }

  /** @param id - incarnation that is no longer cold */
  markWarm (id: string): void {
    this.#change(id, { isCold: false })
  }

  /** @param id - incarnation that is leaving */
  markLeaving (id: string): void {
    this.#change(id, { isLeaving: true })
  }

  /**
   * @param id - incarnation
   * @param model - model whose weights the incarnation has loaded
   * @param version - version of the weights
   */
  setWeights (id: string, model: string, version: number): void {
    this.#change(id, { models: [{ model, version }] })
  }

  /** Closes the server and its connections. */
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
