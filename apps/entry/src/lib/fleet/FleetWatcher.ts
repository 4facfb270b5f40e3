/** Tracks liveness, load and link speeds of endpoints and stores. */
import { EngineClient } from '@eelgrassmux/backends/EngineClient'
import { MembershipClient } from '@eelgrassmux/backends/MembershipClient'
import { ServiceClient } from '@eelgrassmux/backends/ServiceClient'
import { StoreClient } from '@eelgrassmux/backends/StoreClient'
import { EndpointTable, DEFAULT_ENDPOINT_SETTINGS } from '@eelgrassmux/policy/health/EndpointTable'
import { EngineLoadTable } from '@eelgrassmux/policy/health/EngineLoadTable'
import { LinkTable } from '@eelgrassmux/policy/health/LinkTable'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import type { EngineEndpoint, PlainEndpoint, Store } from '@eelgrassmux/schema/configuration'

/** Interval at which each endpoint and store is polled, in milliseconds. */
const POLL_INTERVAL_MS = 250

/** Interval at which the platform's membership list is read, in milliseconds. */
const MEMBERSHIP_POLL_INTERVAL_MS = 500

interface Watched<Client> {
  readonly client: Client
  readonly timer: NodeJS.Timeout
  readonly address: string
}

/** Polls all endpoints and stores, and owns the connections to them. */
export class FleetWatcher {
  readonly engineTable = new EndpointTable()
  /** Endpoints of plain services; they have separate pools and ejection limits. */
  readonly serviceTable = new EndpointTable(DEFAULT_ENDPOINT_SETTINGS)
  readonly loads = new EngineLoadTable()
  readonly links = new LinkTable()
  readonly #engines = new Map<string, Watched<EngineClient>>()
  readonly #services = new Map<string, Watched<ServiceClient>>()
  readonly #stores = new Map<string, Watched<StoreClient>>()
  readonly #storesLastSeenAt = new Map<string, number>()
  readonly #membership: MembershipClient | undefined
  #listTimer: NodeJS.Timeout | undefined

  /** @param membershipAddress - address of the platform's membership list, if there is one */
  constructor (membershipAddress: string | undefined) {
    this.#membership = membershipAddress === undefined ? undefined : new MembershipClient(membershipAddress)
  }

  /** Starts reading the platform's membership list. */
  start (): void {
    this.#listTimer = setInterval(() => { void this.#readList() }, MEMBERSHIP_POLL_INTERVAL_MS)
    void this.#readList()
  }

  /** @param configuration - new configuration in force */
  configure (configuration: ConfigurationIndex): void {
    this.engineTable.retain(new Set(configuration.engines.keys()))
    this.serviceTable.retain(new Set(configuration.plainEndpoints.keys()))
    this.links.retain(new Set(configuration.stores.keys()))
    this.#reconcile(this.#engines, configuration.engines, endpoint => this.#watchEngine(endpoint))
    this.#reconcile(this.#services, configuration.plainEndpoints, endpoint => this.#watchService(endpoint))
    this.#reconcile(this.#stores, configuration.stores, store => this.#watchStore(store))
    for (const store of configuration.stores.values()) this.links.configure(store.name, store.linkBytesPerSecond)
    void this.#readList()
  }

  /**
   * @param configuration - new configuration in force
   * @param dataCentres - evacuated data centres, whose endpoints get no new work
   */
  evacuate (configuration: ConfigurationIndex, dataCentres: ReadonlySet<string>): void {
    this.engineTable.setEvacuated(endpointNamesIn(configuration.engines, dataCentres))
    this.serviceTable.setEvacuated(endpointNamesIn(configuration.plainEndpoints, dataCentres))
  }

  /**
   * @param name - engine name
   * @returns the engine's client, if the engine is configured
   */
  engine (name: string): EngineClient | undefined {
    return this.#engines.get(name)?.client
  }

  /**
   * @param name - endpoint name
   * @returns the endpoint's client, if the endpoint is configured
   */
  service (name: string): ServiceClient | undefined {
    return this.#services.get(name)?.client
  }

  /**
   * @param now - monotonic milliseconds
   * @returns names of the stores that answered recently
   */
  availableStores (now: number): string[] {
    const oldest = now - DEFAULT_ENDPOINT_SETTINGS.reportLifetimeMs
    return [...this.#storesLastSeenAt].filter(([, at]) => at > oldest).map(([store]) => store)
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

  #reconcile<Document extends { readonly name: string, readonly address: string }, Client extends { close (): Promise<void> }> (
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
    return { client, address, timer: pollEvery(POLL_INTERVAL_MS, poll) }
  }

  #watchService ({ name, address }: PlainEndpoint): Watched<ServiceClient> {
    const client = new ServiceClient(address)
    const poll = async (): Promise<void> => {
      const health = await client.health()
      if (!health.ok) return
      const { state, incarnation } = health.value
      this.serviceTable.observeReport(name, { leaving: state === 'leaving', incarnation }, performance.now())
    }
    return { client, address, timer: pollEvery(POLL_INTERVAL_MS, poll) }
  }

  #watchStore ({ name, address }: Store): Watched<StoreClient> {
    const client = new StoreClient(address)
    const poll = async (): Promise<void> => {
      const load = await client.load()
      if (!load.ok) return
      const now = performance.now()
      this.#storesLastSeenAt.set(name, now)
      this.links.observeBacklog(name, load.value.backlogBytes, now)
    }
    return { client, address, timer: pollEvery(POLL_INTERVAL_MS, poll) }
  }

  async #readList (): Promise<void> {
    const list = await this.#membership?.list()
    // An unreadable list changes nothing: it says nothing about the liveness of endpoints.
    if (list?.ok !== true) return
    this.engineTable.observeMemberList(list.value.members)
    this.serviceTable.observeMemberList(list.value.members)
  }
}

function endpointNamesIn (endpoints: ReadonlyMap<string, { readonly dataCentre: string }>, dataCentres: ReadonlySet<string>): Set<string> {
  return new Set([...endpoints].filter(([, { dataCentre }]) => dataCentres.has(dataCentre)).map(([name]) => name))
}

/** Polls immediately and then at an interval; skips a poll while the previous one is still running. */
function pollEvery (intervalMs: number, poll: () => Promise<void>): NodeJS.Timeout {
  let busy = false
  const runPoll = async (): Promise<void> => {
    if (busy) return
    busy = true
    try {
      await poll()
    } finally {
      busy = false
    }
  }
  void runPoll()
  return setInterval(() => { void runPoll() }, intervalMs)
}
