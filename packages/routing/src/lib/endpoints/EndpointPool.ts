/** All endpoints that one entry host knows, by service. */
import { isLaterStart } from '@eelgrassmux/schema/site/isLaterStart'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { EndpointState } from './EndpointState.js'
import { Slowness } from './Slowness.js'

/**
 * Follows the platform's list; an endpoint that leaves the list gets no new work, and
 * its requests finish. One that has started again under its id is another incarnation:
 * nothing that was learnt of the former one is kept.
 */
export class EndpointPool {
  #byId = new Map<string, EndpointState>()
  #all: readonly EndpointState[] = []
  #byService = new Map<string, EndpointState[]>()

  /** @param makeSlowness - for each incarnation */
  constructor (private readonly makeSlowness: () => Slowness = () => new Slowness()) {}

  /**
   * @param listed - the whole list; it may lag behind what is known of a start
   * @returns incarnations that are gone: not listed any more, or replaced by a later start
   */
  update (listed: readonly ListedEndpoint[]): EndpointState[] {
    const before = this.#byId
    this.#byId = new Map()
    for (const entry of listed) {
      const present = this.#byId.get(entry.id) ?? before.get(entry.id)
      this.#byId.set(entry.id, this.#advance(present, entry))
    }
    this.#all = [...this.#byId.values()]
    this.#groupByService()
    return [...before.values()].filter(state => this.#byId.get(state.id) !== state)
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
  get all (): readonly EndpointState[] { return this.#all }

  /** The incarnation that an entry tells of, or the known one if that is the later. */
  #advance (present: EndpointState | undefined, entry: ListedEndpoint): EndpointState {
    const known = present?.listed.startedAtMs
    if (present === undefined || isLaterStart(entry.startedAtMs, known)) return new EndpointState(entry, this.makeSlowness())
    const isFormer = entry.startedAtMs !== undefined && isLaterStart(known, entry.startedAtMs)
    if (!isFormer) present.update(entry)
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
