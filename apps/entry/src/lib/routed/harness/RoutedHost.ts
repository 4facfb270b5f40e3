/** A server for routed requests with everything around it, for tests. */
import { request as httpRequest } from 'node:http'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import type { RetryBudgetTerms } from '@eelgrassmux/routing/attempts/RetryAllowance'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { GracefulShutdown } from '../../GracefulShutdown.js'
import type { RequestQuarantine } from '../../quarantine/RequestQuarantine.js'
import { RoutedFleet } from '../RoutedFleet.js'
import { RoutedServer } from '../RoutedServer.js'
import type { FakeEndpoint } from './FakeEndpoint.js'
import { idleQuarantine } from './idleQuarantine.js'
import { PLAIN_HEADERS, PlainCodec } from './PlainCodec.js'
import { TEST_SITE } from './testSite.js'

/** The balancer's lag, in milliseconds. */
export const BALANCER_LAG_MS = 100

/** Age of a host that does not let requests wait for the site any more, in milliseconds. */
const LONG_AGO_MS = 60_000

/** What a test may want otherwise. */
export interface RoutedHostOptions {
  readonly graceMs?: number
  readonly budget?: RetryBudgetTerms
  readonly site?: Site
  /** Monotonic milliseconds at which the host started. */
  readonly startedAt?: number
  readonly quarantine?: RequestQuarantine
  /** Has a request placed, at once unless given. */
  readonly beforePlacing?: (place: () => void) => void
}

/** What a caller got. */
export interface CallerOutcome {
  /** 0 if the connection broke before there was an answer. */
  readonly status: number
  readonly body: string
  readonly isWhole: boolean
  /** Value of the answer's header of that name. */
  readonly connection: string | undefined
  /** Likewise. */
  readonly retryAfter: string | undefined
}

/** One host and its endpoints. */
export class RoutedHost {
  readonly telemetry = new Telemetry('test')
  readonly stop: GracefulShutdown
  readonly server: RoutedServer
  port = 0
  readonly #fleet = new RoutedFleet('n', () => 1, this.telemetry)
  readonly #site: Site

  /**
   * @param endpoints - all of the site's only service
   * @param options - what differs
   */
  constructor (private readonly endpoints: readonly FakeEndpoint[], options: RoutedHostOptions = {}) {
    const { graceMs = 60_000, budget = { ratio: 0.2, slack: 20 }, site = TEST_SITE, startedAt = performance.now() - LONG_AGO_MS, quarantine = idleQuarantine(), beforePlacing = place => { place() } } = options
    const work = new WorkGate()
    this.#site = site
    this.stop = new GracefulShutdown(work, { balancerLagMs: BALANCER_LAG_MS, graceMs }, this.telemetry)
    this.server = new RoutedServer({
      fleet: this.#fleet,
      codec: new PlainCodec(),
      work,
      stop: this.stop,
      telemetry: this.telemetry,
      quarantine,
      budget,
      liveHosts: () => 1,
      desiredVersion: () => 1,
      regions: new Map(),
      remainingMsForVersion: () => Number.POSITIVE_INFINITY,
      isSiteUsable: () => true,
      areStoresUsable: () => false,
      storeClockMs: () => undefined,
      withRecentLoad: beforePlacing,
      isLagging: () => false
    }, startedAt)
  }

  async start (): Promise<void> {
    this.port = await this.server.listen('127.0.0.1', 0)
    this.server.configure(this.#site)
    this.#fleet.update(await Promise.all(this.endpoints.map(async endpoint => await endpoint.listen())))
  }

  async close (): Promise<void> {
    await this.server.close()
    for (const endpoint of this.endpoints) endpoint.close()
  }

  /**
   * Asks as a caller does.
   *
   * @param path - with the prefix of a route
   * @param onHead - called when the answer begins
   */
  async sendRequest (path: string, onHead: () => void = () => {}): Promise<CallerOutcome> {
    return await new Promise(resolve => {
      const request = httpRequest({ host: '127.0.0.1', port: this.port, path, headers: { host: 'h', [PLAIN_HEADERS.id]: 'r1' } }, response => {
        let body = ''
        onHead()
        response.on('data', chunk => { body += String(chunk) })
        response.on('close', () => {
          resolve({ status: response.statusCode ?? 0, body, isWhole: response.complete, connection: response.headers.connection, retryAfter: response.headers['retry-after'] })
        })
      })
      request.on('error', () => { resolve({ status: 0, body: '', isWhole: false, connection: undefined, retryAfter: undefined }) })
      request.end()
    })
  }
}
