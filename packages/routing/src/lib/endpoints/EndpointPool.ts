/** All endpoints that one entry host knows, grouped by service. */
import { isLaterStart } from '@eelgrassmux/schema/site/isLaterStart'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { EndpointState } from './EndpointState.js'
import { Slowness } from './Slowness.js'

/**
 * Follows the platform's list. An endpoint that leaves the list gets no new work, and the
 * requests that it runs finish. An endpoint that restarts under the same id is a new
 * incarnation, which keeps nothing of what was learnt about the previous one.
 */
export class EndpointPool {
  #byId = new Map<string, EndpointState>()
  #all: readonly EndpointState[] = []
  #byService = new Map<string, EndpointState[]>()

  /** @param makeSlowness - makes the slowness estimate of a new incarnation */
  constructor (private readonly makeSlowness: () => Slowness = () => new Slowness()) {}

  /**
   * @param listed - the complete list; it may lag behind a restart that is known already
   * @returns incarnations that are gone: no longer listed, or replaced by a later start
   */
  update (listed: readonly ListedEndpoint[]): EndpointState[] {
    const before = this.#byId
    this.#byId = new Map()
    for (const entry of listed) {
      const present = this.#byId.get(entry.id) ?? before.get(entry.id)
      this.#byId.set(entry.id, this.#latestIncarnation(present, entry))
    }
    this.#all = [...this.#byId.values()]
    this.#groupByService()
    return [...before.values()].filter(state => this.#byId.get(state.id) !== state)
  }

  /**
   * @param service - service name
   * @returns the endpoints of the service
   */
  ofService (service: string): readonly EndpointState[] {
    return this.#byService.get(service) ?? []
  }

  /** Names of services that have endpoints. */
  get services (): readonly string[] { return [...this.#byService.keys()] }

  /** All endpoints. */
  get all (): readonly EndpointState[] { return this.#all }

  /** Returns the incarnation that a list entry describes, or the known one if that started later. */
  #latestIncarnation (present: EndpointState | undefined, entry: ListedEndpoint): EndpointState {
    const known = present?.listed.startedAtMs
    if (present === undefined || isLaterStart(entry.startedAtMs, known)) return new EndpointState(entry, this.makeSlowness())
    const isEarlier = entry.startedAtMs !== undefined && isLaterStart(known, entry.startedAtMs)
    if (!isEarlier) present.update(entry)
    return present
  }

  #groupByService (): void {
    this.#byService = new Map()
    for (const state of this.#byId.values()) {
      const { service } = state.listed
      this.#byService.set(service, [...this.#byService.get(service) ?? [], state])
    }
  }
}
