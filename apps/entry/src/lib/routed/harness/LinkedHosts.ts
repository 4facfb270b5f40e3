/** Several hosts before the same endpoints, which exchange their load, for tests. */
import { randomUUID } from 'node:crypto'
import { LoadAggregator } from '@eelgrassmux/routing/load/LoadAggregator'
import { RelayTickets } from '@eelgrassmux/routing/reachability/RelayTickets'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { RelayHosts, type RelayDirectory } from '../../relays/RelayHosts.js'
import { RelayTicketChecks } from '../../relays/RelayTicketChecks.js'
import { StreamDirectoryClient } from '../../streams/StreamDirectoryClient.js'
import { OriginHolders } from './OriginHolders.js'
import type { FakeEndpoint } from './FakeEndpoint.js'
import { TEST_SITE } from './testSite.js'
import { RoutedHost, type RoutedHostOptions } from './RoutedHost.js'

/** Interval at which the hosts exchange their load, in milliseconds. */
const LOAD_EXCHANGE_INTERVAL_MS = 25

/** Number of control hosts. */
const CONTROL_HOSTS = 3

/** Hosts that run in this process. */
export class LinkedHosts {
  readonly hosts: readonly RoutedHost[]
  /** Control hosts that keep the origins of streams. */
  readonly origins = new OriginHolders(CONTROL_HOSTS)
  private readonly site: Site
  readonly #loads = new LoadAggregator()
  readonly #tickets = new RelayTickets(randomUUID)
  #sequence = 0
  #timer: NodeJS.Timeout | undefined

  /**
   * @param count - number of hosts
   * @param endpoints - endpoints of the only service
   * @param options - options of all hosts
   */
  constructor (count: number, private readonly endpoints: readonly FakeEndpoint[], options: RoutedHostOptions = {}) {
    this.site = options.site ?? TEST_SITE
    this.hosts = Array.from({ length: count }, (_, number) => {
      const directory = this.#directoryOf(number)
      const streams = new StreamDirectoryClient(`host-${number}`, this.origins, new Telemetry('test'))
      return new RoutedHost([], { ...options, streams, relays: { hosts: new RelayHosts(directory), tickets: new RelayTicketChecks(directory) } })
    })
  }

  async start (): Promise<void> {
    this.origins.configure(this.site)
    const listed = await Promise.all(this.endpoints.map(async endpoint => await endpoint.listen()))
    for (const host of this.hosts) await host.start(listed)
    this.#timer = setInterval(() => { this.#exchangeLoads() }, LOAD_EXCHANGE_INTERVAL_MS)
  }

  /** Ends the exchange of load, as when no control host leads. */
  stopExchange (): void {
    clearInterval(this.#timer)
  }

  async close (): Promise<void> {
    this.stopExchange()
    for (const host of this.hosts) await host.close()
    for (const endpoint of this.endpoints) endpoint.close()
  }

  /** Answers a host as the leading control host does. */
  #directoryOf (number: number): RelayDirectory {
    const address = (host: RoutedHost | undefined): string => `127.0.0.1:${host?.port ?? 0}`
    return {
      open: async () => {
        const now = performance.now()
        const own = address(this.hosts[number])
        return { ticket: this.#tickets.open(own, now), hosts: this.#tickets.candidates(this.hosts.map(address), own, this.hosts.length, now, Math.random) }
      },
      holderOf: async ticket => this.#tickets.holderOf(ticket, performance.now()) ?? ''
    }
  }

  #exchangeLoads (): void {
    const now = performance.now()
    this.#sequence += 1
    const sequence = this.#sequence
    this.hosts.forEach(({ fleet }, number) => {
      const own = fleet.ownWork()
      fleet.otherHostsLoad.recordOwnReport(sequence, own, now)
      this.#loads.observe({ host: `host-${number}`, sequence, ...own }, now)
    })
    const totals = this.#loads.totals(now)
    this.hosts.forEach(({ fleet }, number) => {
      // The totals may have been computed before the latest report of the host.
      const included = totals.sequences.get(`host-${number}`)
      if (included !== undefined) fleet.otherHostsLoad.recordTotals({ ...totals, sequence: included }, now)
      fleet.applyObservations()
    })
  }
}
