/** Keeps this host's picture of endpoints and stores: liveness, load, links. */
import { EngineClient } from '@eelgrassmux/backends/EngineClient'
import { MembershipClient } from '@eelgrassmux/backends/MembershipClient'
import { ServiceClient } from '@eelgrassmux/backends/ServiceClient'
import { StoreClient } from '@eelgrassmux/backends/StoreClient'
import { EndpointTable, DEFAULT_ENDPOINT_SETTINGS } from '@eelgrassmux/policy/health/EndpointTable'
import { EngineLoadTable } from '@eelgrassmux/policy/health/EngineLoadTable'
import { LinkTable } from '@eelgrassmux/policy/health/LinkTable'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import type { EngineEndpoint, PlainEndpoint, Store } from '@eelgrassmux/schema/configuration'

/** Interval between reports of each back end, in milliseconds. */
const POLL_MS = 250

/** Interval between readings of the platform's list, in milliseconds. */
const LIST_MS = 500

interface Watched<Client> {
  readonly client: Client
  readonly timer: NodeJS.Timeout
  readonly address: string
}

/** Owns the connections to all back ends. */
export class FleetWatcher {
  readonly engineTable = new EndpointTable()
  /** Endpoints of plain services, which have pools and ejection bounds of their own. */
  readonly serviceTable = new EndpointTable(DEFAULT_ENDPOINT_SETTINGS)
  readonly loads = new EngineLoadTable()
  readonly links = new LinkTable()
  readonly #engines = new Map<string, Watched<EngineClient>>()
  readonly #services = new Map<string, Watched<ServiceClient>>()
  readonly #stores = new Map<string, Watched<StoreClient>>()
  readonly #storesUp = new Map<string, number>()
  readonly #membership: MembershipClient | undefined
  #listTimer: NodeJS.Timeout | undefined

  /** @param membershipAddress - the platform's list, if there is one */
  constructor (membershipAddress: string | undefined) {
    this.#membership = membershipAddress === undefined ? undefined : new MembershipClient(membershipAddress)
  }

  /** Starts to read the platform's list. */
  start (): void {
    this.#listTimer = setInterval(() => { void this.#readList() }, LIST_MS)
    void this.#readList()
  }

  /** @param configuration - configuration that is now in force */
  configure (configuration: ConfigurationIndex): void {
    this.engineTable.retain(new Set(configuration.engines.keys()))
    this.serviceTable.retain(new Set(configuration.plainEndpoints.keys()))
    this.links.retain(new Set(configuration.stores.keys()))
    this.#sync(this.#engines, configuration.engines, endpoint => this.#watchEngine(endpoint))
    this.#sync(this.#services, configuration.plainEndpoints, endpoint => this.#watchService(endpoint))
    this.#sync(this.#stores, configuration.stores, store => this.#watchStore(store))
    for (const store of configuration.stores.values()) this.links.configure(store.name, store.linkBytesPerSecond)
    void this.#readList()
  }

  /**
   * @param configuration - configuration that is now in force
   * @param dataCentres - whose endpoints get no new work
   */
  evacuate (configuration: ConfigurationIndex, dataCentres: ReadonlySet<string>): void {
    this.engineTable.setEvacuated(namesIn(configuration.engines, dataCentres))
    this.serviceTable.setEvacuated(namesIn(configuration.plainEndpoints, dataCentres))
  }

  /**
   * @param name - engine
   * @returns its client
   */
  engine (name: string): EngineClient | undefined {
    return this.#engines.get(name)?.client
  }

  /**
   * @param name - endpoint of a plain service
   * @returns its client
   */
  service (name: string): ServiceClient | undefined {
    return this.#services.get(name)?.client
  }

  /**
   * @param now - monotonic milliseconds
   * @returns stores that answered lately, with the share of their capacity in use
   */
  storesUp (now: number): string[] {
    const lately = now - DEFAULT_ENDPOINT_SETTINGS.reportLifetimeMs
    return [...this.#storesUp].filter(([, at]) => at > lately).map(([store]) => store)
  }

  /** Stops all polling and closes all connections. */
  async stop (): Promise<void> {
    clearInterval(this.#listTimer)
    for (const { client, timer } of [...this.#engines.values(), ...this.#services.values(), ...this.#stores.values()]) {
      clearInterval(timer)
      await client.close()
    }
    await this.#membership?.close()
  }

  #sync<Document extends { readonly name: string, readonly address: string }, Client extends { close (): Promise<void> }> (
    watched: Map<string, Watched<Client>>, documents: ReadonlyMap<string, Document>, watch: (document: Document) => Watched<Client>
  ): void {
    for (const [name, present] of watched) {
      if (documents.get(name)?.address === present.address) continue
      clearInterval(present.timer)
      watched.delete(name)
      void present.client.close()
    }
    for (const document of documents.values()) {
      if (!watched.has(document.name)) watched.set(document.name, watch(document))
    }
  }

  #watchEngine ({ name, address }: EngineEndpoint): Watched<EngineClient> {
    const client = new EngineClient(address)
    const poll = async (): Promise<void> => {
      const report = await client.report()
      if (!report.ok) return
      const now = performance.now()
      const { state, incarnation } = report.value
      this.engineTable.observeReport(name, { leaving: state === 'leaving', incarnation }, now)
      this.loads.observe(name, report.value, now)
    }
    return { client, address, timer: every(POLL_MS, poll) }
  }

  #watchService ({ name, address }: PlainEndpoint): Watched<ServiceClient> {
    const client = new ServiceClient(address)
    const poll = async (): Promise<void> => {
      const health = await client.health()
      if (!health.ok) return
      const { state, incarnation } = health.value
      this.serviceTable.observeReport(name, { leaving: state === 'leaving', incarnation }, performance.now())
    }
    return { client, address, timer: every(POLL_MS, poll) }
  }

  #watchStore ({ name, address }: Store): Watched<StoreClient> {
    const client = new StoreClient(address)
    const poll = async (): Promise<void> => {
      const load = await client.load()
      if (!load.ok) return
      const now = performance.now()
      this.#storesUp.set(name, now)
      this.links.observeBacklog(name, load.value.backlogBytes, now)
    }
    return { client, address, timer: every(POLL_MS, poll) }
  }

  async #readList (): Promise<void> {
    const list = await this.#membership?.list()
    // A list that can't be read, or has stopped, changes nothing: it is no evidence of life.
    if (list?.ok !== true) return
    this.engineTable.observeMemberList(list.value.members)
    this.serviceTable.observeMemberList(list.value.members)
  }
}

function namesIn (endpoints: ReadonlyMap<string, { readonly dataCentre: string }>, dataCentres: ReadonlySet<string>): Set<string> {
  return new Set([...endpoints].filter(([, { dataCentre }]) => dataCentres.has(dataCentre)).map(([name]) => name))
}

/** Polls now and then at an interval; a slow poll is not overtaken by the next. */
function every (intervalMs: number, poll: () => Promise<void>): NodeJS.Timeout {
  let busy = false
  const turn = async (): Promise<void> => {
    if (busy) return
    busy = true
    try {
      await poll()
    } finally {
      busy = false
    }
  }
  void turn()
  return setInterval(() => { void turn() }, intervalMs)
}
