/** All endpoints that one entry host knows, by service. */
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { EndpointState } from './EndpointState.js'

/** Follows the platform's list; an endpoint that leaves the list gets no new work, and its requests finish. */
export class EndpointPool {
  #byId = new Map<string, EndpointState>()
  #byService = new Map<string, EndpointState[]>()

  /**
   * @param listed - the whole list
   * @returns endpoints that are not listed any more
   */
  update (listed: readonly ListedEndpoint[]): EndpointState[] {
    const before = this.#byId
    this.#byId = new Map()
    this.#byService = new Map()
    for (const entry of listed) {
      const state = before.get(entry.id) ?? new EndpointState(entry)
      state.update(entry)
      this.#byId.set(entry.id, state)
      this.#byService.set(entry.service, [...this.#byService.get(entry.service) ?? [], state])
    }
    return [...before.values()].filter(state => !this.#byId.has(state.id))
  }

  /**
   * @param service - service name
   * @returns its endpoints
   */
  ofService (service: string): readonly EndpointState[] {
    return this.#byService.get(service) ?? []
  }

  /** Names of services that have endpoints. */
  get services (): readonly string[] { return [...this.#byService.keys()] }

  /** All endpoints. */
  get all (): readonly EndpointState[] { return [...this.#byId.values()] }
}
