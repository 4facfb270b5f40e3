/** A server for routed requests with all its dependencies, for tests. */
import { request as httpRequest } from 'node:http'
import { AMPLE_MEMORY, type MemoryLevel } from '@eelgrassmux/daemon/MemoryGuard'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import type { RetryBudgetTerms } from '@eelgrassmux/routing/attempts/RetryAllowance'
import type { HeldBytesBounds } from '@eelgrassmux/routing/admission/HeldBytes'
import { LoadFeatures, type LoadFeatureChoice } from '@eelgrassmux/routing/features/LoadFeatures'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Site } from '@eelgrassmux/schema/site/siteSchema'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { GracefulShutdown } from '../../GracefulShutdown.js'
import type { RequestQuarantine } from '../../quarantine/RequestQuarantine.js'
import type { RetryTokens } from '../../retries/RetryTokens.js'
import { StreamDirectoryClient } from '../../streams/StreamDirectoryClient.js'
import { CallerConnections } from '../CallerConnections.js'
import { RequestBodies, requestBodyBounds } from '../RequestBodies.js'
import { ResponseMemory, responseMemoryBounds } from '../ResponseMemory.js'
import { RoutedFleet } from '../RoutedFleet.js'
import type { RequestCodec } from '../RequestCodec.js'
import { RoutedServer, type RoutedServerPorts } from '../RoutedServer.js'
import { slowReaderBounds, SlowReaders } from '../SlowReaders.js'
import type { FakeEndpoint } from './FakeEndpoint.js'
import { OriginHolders } from './OriginHolders.js'
import { emptyQuarantine } from './emptyQuarantine.js'
import { PLAIN_HEADERS, PlainCodec } from './PlainCodec.js'
import { TEST_SITE } from './testSite.js'

/** How long the load balancer may send requests after readiness is withdrawn, in milliseconds. */
export const BALANCER_LAG_MS = 100

/** Default age of the host, in milliseconds. At this age it no longer queues requests that arrive before the site configuration. */
const DEFAULT_HOST_AGE_MS = 60_000

/** Options of a test host. */
export interface RoutedHostOptions {
  readonly graceMs?: number
  readonly budget?: RetryBudgetTerms
  readonly site?: Site
  /** When the host started, in monotonic milliseconds. */
  readonly startedAt?: number
  readonly quarantine?: RequestQuarantine
  /** Tokens of the retry budget that hosts share; by default the host has its own part of the budget. */
  readonly sharedRetryTokens?: RetryTokens
  readonly codec?: RequestCodec
  /** Models that all endpoints serve. */
  readonly models?: ListedEndpoint['models']
  /** Newest version of the weights of each model, and how long requests may begin on other versions; version 1 for any time by default. */
  readonly weights?: Pick<RoutedServerPorts, 'desiredVersion' | 'remainingMsForVersion'>
  /** Queue and reservations of the host. */
  readonly waiting?: Pick<RoutedServerPorts, 'waiting' | 'reservations'>
  /** Other hosts, and checks of the requests that they relay. */
  readonly relays?: RoutedServerPorts['relays']
  /** How far the host is behind the newest view; never by default. */
  readonly viewLag?: NonNullable<RoutedServerPorts['viewLag']>
  /** Origins of streams; by default those of this host alone are known. */
  readonly streams?: StreamDirectoryClient
  /** Number of hosts that are alive; 1 by default. */
  readonly liveHosts?: number
  /** Features for hard load; by default none, or `shared-retry-budget` if there are tokens of it. */
  readonly features?: readonly LoadFeatureChoice[]
  /** Bounds on what slow readers hold. */
  readonly heldBytes?: HeldBytesBounds
  /** Bounds on unfinished responses. */
  readonly responseBytes?: HeldBytesBounds
  /** Most open connections of callers; unbounded by default. */
  readonly connections?: number
  /** Bounds on the bodies of callers' requests. */
  readonly requestBytes?: HeldBytesBounds
  /** How close the process is to its limit on memory; ample by default. */
  readonly memory?: MemoryLevel
  /** Replaces the wait for the load of other hosts; by default, `place` is called at once. */
  readonly withRecentLoad?: (place: () => void) => void
}

/** What a caller received. */
export interface CallerOutcome {
  /** Status of the response; 0 if the connection broke before it. */
  readonly status: number
  readonly body: string
  readonly isWhole: boolean
  /** Value of the Connection header. */
  readonly connection: string | undefined
  /** Value of the Retry-After header. */
  readonly retryAfter: string | undefined
}

/** One host and its endpoints. */
export class RoutedHost {
  readonly telemetry = new Telemetry('test')
  readonly stop: GracefulShutdown
  readonly slowReaders: SlowReaders
  readonly responseMemory: ResponseMemory
  readonly requestBodies: RequestBodies
  readonly server: RoutedServer
  readonly streams: StreamDirectoryClient
  port = 0
  readonly fleet: RoutedFleet
  readonly #site: Site
  readonly #models: ListedEndpoint['models']

  /**
   * @param endpoints - all endpoints of the site's only service
   * @param options - options that differ from the defaults
   */
  constructor (private readonly endpoints: readonly FakeEndpoint[], options: RoutedHostOptions = {}) {
    const { graceMs = 60_000, budget = { ratio: 0.2, slack: 20 }, site = TEST_SITE, startedAt = performance.now() - DEFAULT_HOST_AGE_MS, quarantine = emptyQuarantine(), withRecentLoad = place => { place() }, codec = new PlainCodec(), models = [], waiting = {}, relays, sharedRetryTokens, heldBytes = slowReaderBounds(0), responseBytes = responseMemoryBounds(0), requestBytes = requestBodyBounds(0) } = options
    const features = new LoadFeatures(options.features ?? (sharedRetryTokens === undefined ? [] : ['shared-retry-budget']))
    this.fleet = new RoutedFleet('n', () => 1, this.telemetry, undefined, undefined, features)
    this.slowReaders = new SlowReaders(features, heldBytes, this.telemetry)
    this.responseMemory = new ResponseMemory(responseBytes, this.telemetry)
    this.requestBodies = new RequestBodies(requestBytes, this.telemetry)
    const work = new WorkGate()
    this.#site = site
    this.#models = models
    this.stop = new GracefulShutdown(work, { balancerLagMs: BALANCER_LAG_MS, graceMs }, this.telemetry)
    this.streams = options.streams ?? new StreamDirectoryClient('test', new OriginHolders(1), this.telemetry)
    this.server = new RoutedServer({
      ...waiting,
      streams: this.streams,
      fleet: this.fleet,
      slowReaders: this.slowReaders,
      responseMemory: this.responseMemory,
      connections: new CallerConnections(options.connections ?? Number.POSITIVE_INFINITY, this.telemetry),
      requestBodies: this.requestBodies,
      codec,
      work,
      stop: this.stop,
      telemetry: this.telemetry,
      quarantine,
      budget,
      ...(relays === undefined ? {} : { relays }),
      memory: options.memory ?? AMPLE_MEMORY,
      ...(options.viewLag === undefined ? {} : { viewLag: options.viewLag }),
      ...(sharedRetryTokens === undefined ? {} : { sharedRetryTokens: () => sharedRetryTokens }),
      liveHosts: () => options.liveHosts ?? 1,
      regions: new Map(),
      ...options.weights ?? { desiredVersion: () => 1, remainingMsForVersion: () => Number.POSITIVE_INFINITY },
      isSiteUsable: () => true,
      areStoresUsable: () => false,
      storeClockMs: () => undefined,
      withRecentLoad,
      isLagging: () => false
    }, startedAt)
  }

  /** @param known - endpoints that listen already; by default those of this host are started */
  async start (known?: readonly ListedEndpoint[]): Promise<void> {
    this.port = await this.server.listen('127.0.0.1', 0)
    this.server.configure(this.#site)
    this.fleet.configure(this.#site)
    const listed = known ?? await Promise.all(this.endpoints.map(async endpoint => await endpoint.listen()))
    this.list(listed.map(endpoint => ({ ...endpoint, models: this.#models })))
  }

  /** @param listed - the platform's list */
  list (listed: readonly ListedEndpoint[]): void {
    this.fleet.update(listed)
    this.streams.observe(this.#site, listed)
  }

  async close (): Promise<void> {
    await this.server.close()
    for (const endpoint of this.endpoints) endpoint.close()
  }

  /**
   * Sends a request as a caller.
   *
   * @param path - path with the prefix of a route
   * @param onHead - called when the response begins
   * @param headers - headers to add
   */
  async sendRequest (path: string, onHead: () => void = () => {}, headers: Readonly<Record<string, string>> = {}): Promise<CallerOutcome> {
    return await new Promise(resolve => {
      const request = httpRequest({ host: '127.0.0.1', port: this.port, path, headers: { host: 'h', [PLAIN_HEADERS.id]: 'r1', ...headers } }, response => {
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
