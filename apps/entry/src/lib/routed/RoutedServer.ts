/**
 * The HTTP server for routed requests: who asks, which route, and within which bounds.
 *
 * Node's own server and not h3: bytes go from socket to socket as buffers, and a
 * connection has to be closed, kept or broken off exactly as the answer asks.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { EarlyListener } from '@eelgrassmux/daemon/EarlyListener'
import type { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { RouteDurations } from '@eelgrassmux/routing/admission/RouteDurations'
import { RetryAllowance, type RetryBudgetTerms } from '@eelgrassmux/routing/attempts/RetryAllowance'
import { regionBoundOf } from '@eelgrassmux/routing/places/RegionBound'
import { SiteIndex } from '@eelgrassmux/routing/site/SiteIndex'
import { DispatchRecord, refuse, type RefusalReason } from '@eelgrassmux/schema/Refusal'
import type { Route, Site, SiteCustomer } from '@eelgrassmux/schema/site/siteSchema'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { GracefulShutdown } from '../GracefulShutdown.js'
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.js'
import { CallerExchange } from './CallerExchange.js'
import type { CallerFields, RequestCodec } from './RequestCodec.js'
import type { RoutedFleet } from './RoutedFleet.js'
import type { RoutedPorts } from './RoutedRequest.js'
import { RoutedRequestTask } from './RoutedRequestTask.js'
import { SharedLooks } from './SharedLooks.js'
import { SILENCE_LOOK_MS } from './SilenceFailover.js'
import { StartupQueue } from './StartupQueue.js'

/** What the server needs from around it. */
export interface RoutedServerPorts {
  readonly fleet: RoutedFleet
  readonly codec: RequestCodec
  readonly work: WorkGate
  readonly stop: GracefulShutdown
  readonly telemetry: Telemetry
  readonly quarantine: RequestQuarantine
  readonly budget: RetryBudgetTerms
  /** Region of each data centre. */
  readonly regions: ReadonlyMap<string, string>
  liveHosts (): number
  desiredVersion (model: string): number
  /** Milliseconds within which a request may begin on weights of that version. */
  remainingMsForVersion (model: string, version: number): number
  /** Whether this host may act on the site it knows. */
  isSiteUsable (): boolean
  /** Whether what this host knows of stores may be acted on. */
  areStoresUsable (now: number): boolean
  /** The stores' clock in milliseconds, once it is known. */
  storeClockMs (now: number): number | undefined
  /** Has a request placed on what is known of the others' work: at once, or after a moment in which they are asked. */
  withRecentLoad (place: () => void): void
  /** Whether this process did not get to its sockets for a while. */
  isLagging (): boolean
}

/** Headers that Node reads at most, in bytes; the site's own limit is checked after that and lies below. */
const HARD_HEADER_LIMIT_BYTES = 64 * 1024

/** Connections that wait to be accepted. */
const CALLER_BACKLOG = 4096

/** Interval at which Node looks for callers that take too long, in milliseconds. */
const SLOW_CALLER_LOOK_MS = 1000

/** Longest wait for answers that are being written when the server closes, in milliseconds: refusals of the last moment, which nothing else waits for. */
const CLOSE_WAIT_MS = 100

/** Pause after which a caller should ask another host again, in seconds. */
const ASK_AGAIN_SECONDS = 0.3

const FIRST_EVENT_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 2, 5, 10]

/** Serves routed requests until drained. */
export class RoutedServer {
  readonly #server: Server
  /** What requests need from around them, by service. */
  readonly #requestPorts = new Map<string, RoutedPorts>()
  readonly #refusals: LabelledCounter
  readonly #retries: LabelledCounter
  readonly #requests: LabelledCounter
  readonly #firstEvent: (milliseconds: number) => void
  readonly #startup: StartupQueue
  readonly #durations = new RouteDurations()
  readonly #silenceLooks = new SharedLooks(SILENCE_LOOK_MS)
  #index: SiteIndex | undefined
  #lastRequestAt = 0
  /** Requests that were read and not answered yet; the task only once there is one. */
  readonly #underWay = new Map<CallerExchange, RoutedRequestTask | undefined>()

  /**
   * @param ports - surroundings
   * @param startedAt - monotonic milliseconds at which this host started; 0 is the start of the process
   */
  constructor (private readonly ports: RoutedServerPorts, startedAt = 0) {
    const { telemetry } = ports
    this.#startup = new StartupQueue(startedAt)
    telemetry.gauge('requests_waiting_for_site', 'Requests that wait until this host knows the site', () => this.#startup.length)
    this.#refusals = telemetry.labelledCounter('routed_refusals_total', 'Refusals of routed requests by reason')
    this.#retries = telemetry.labelledCounter('routed_retries_total', 'Further attempts of routed requests by reason')
    this.#requests = telemetry.labelledCounter('routed_requests_total', 'Routed requests by route kind', 'kind')
    this.#firstEvent = telemetry.durationHistogram('routed_first_event_seconds', 'Time to the first event of a routed stream', FIRST_EVENT_BUCKETS)
    this.#server = createServer({ maxHeaderSize: HARD_HEADER_LIMIT_BYTES, connectionsCheckingInterval: SLOW_CALLER_LOOK_MS, keepAlive: true })
    this.#server.requestTimeout = 0
    this.#server.on('request', (request, response) => { this.#accept(request, response) })
    this.#server.on('checkContinue', (request, response: ServerResponse) => {
      response.writeContinue()
      this.#accept(request, response)
    })
  }

  /**
   * Starts to listen.
   *
   * @param host - IP number
   * @param port - port, 0 for a free one
   * @param early - a port that is open already; closed if it is another one
   * @returns the port
   */
  async listen (host: string, port: number, early?: EarlyListener): Promise<number> {
    if (early?.isListeningOn(host, port) === true) {
      await early.transferTo(this.#server)
    } else {
      early?.close()
      await new Promise<void>((resolve, reject) => {
        this.#server.once('error', reject)
        this.#server.listen({ host, port, backlog: CALLER_BACKLOG }, resolve)
      })
    }
    return (this.#server.address() as AddressInfo).port
  }

  /** @param site - site that is now in force */
  configure (site: Site): void {
    this.#index = new SiteIndex(site)
    this.#server.headersTimeout = site.limits.headerTimeoutMs
    this.#server.keepAliveTimeout = site.limits.idleTimeoutMs
  }

  /** Lets requests go that waited for what this host has learnt. */
  releaseWaiting (): void {
    if (this.ports.stop.isStopping) this.#startup.releaseAll()
    else if (this.#mayServe()) this.#startup.release()
  }

  /** Whether a site is known. */
  get isConfigured (): boolean { return this.#index !== undefined }

  /** Closes connections on which no request is under way, so that callers move to other hosts. */
  closeIdleConnections (): void {
    this.#server.closeIdleConnections()
  }

  /** Monotonic milliseconds at which the last request arrived. */
  get lastRequestAt (): number { return this.#lastRequestAt }

  /** Logs what is under way, so that work that is cut later can be told by its ids. */
  logUnderWay (): void {
    for (const task of this.#underWay.values()) task?.logStop('awaited-by-stop', { sinceSignalMs: Math.round(this.ports.stop.sinceSignalMs) })
  }

  /** Ends what is under way because the process is about to be killed. */
  cutUnderWay (): void {
    for (const [exchange, task] of [...this.#underWay]) {
      if (task !== undefined) task.endForStop(this.ports.stop.sinceSignalMs)
      else if (!exchange.hasEnded) this.#refuseDraining(exchange)
    }
  }

  /** Closes; what is still being written has a moment to leave the process. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      const overdue = setTimeout(() => { this.#server.closeAllConnections() }, CLOSE_WAIT_MS)
      this.#server.close(() => {
        clearTimeout(overdue)
        resolve()
      })
    })
  }

  /** Whether this host knows what it needs to serve. The others' work is part of it: all hosts release what waits at the same moment. */
  #mayServe (): boolean {
    const { fleet } = this.ports
    return this.#index !== undefined && this.ports.isSiteUsable() && fleet.hasEndpoints && fleet.isLoadKnown
  }

  #accept (message: IncomingMessage, response: ServerResponse): void {
    const arrivedAt = performance.now()
    this.#lastRequestAt = arrivedAt
    const exchange = new CallerExchange(message, response, () => this.ports.stop.isStopping)
    // It was sent before its caller knew, and the connection closes without it.
    if (exchange.isTooLate) return
    const ticket = this.ports.work.tryBegin()
    if (ticket === undefined) {
      this.#refuseDraining(exchange)
      return
    }
    this.#underWay.set(exchange, undefined)
    exchange.onClosed(() => {
      this.#underWay.delete(exchange)
      ticket.end()
    })
    const fields = this.ports.codec.readRequestHeaders(message.rawHeaders)
    const route = (): void => { this.#route(message, exchange, fields, arrivedAt) }
    if (this.#mayServe() || this.ports.stop.isStopping || !this.#startup.hold(exchange, fields.deadlineMs, arrivedAt, route)) {
      route()
      return
    }
    this.ports.telemetry.logDecision('waits-for-site', fields.requestId ?? '', {
      siteVersion: this.#index?.site.version ?? -1, areEndpointsKnown: this.ports.fleet.hasEndpoints, isLoadKnown: this.ports.fleet.isLoadKnown, waiting: this.#startup.length
    })
  }

  #route (message: IncomingMessage, exchange: CallerExchange, fields: CallerFields, arrivedAt: number): void {
    const index = this.#index
    if (index === undefined || !this.ports.isSiteUsable()) {
      this.#refuse(exchange, fields, 'configuration-stale', 503, 'this host does not know the site yet', ASK_AGAIN_SECONDS)
      return
    }
    if (headerBytes(message) > index.site.limits.headerBytes) {
      this.#refuse(exchange, fields, 'headers-too-large', 431, `the headers are larger than ${index.site.limits.headerBytes} bytes`)
      return
    }
    const route = index.routes.find(message.headers.host ?? '', message.url ?? '/')
    if (route === undefined) {
      this.#refuse(exchange, fields, 'unknown-path', 404, `there is no route for ${message.headers.host ?? ''} ${message.url ?? ''}`)
      return
    }
    const customer = fields.key === undefined ? undefined : index.customerByKey(fields.key)
    if (index.needsKeys && !route.isPublic && customer === undefined) {
      this.#refuse(exchange, fields, 'unknown-credential', 401, 'send a key that a customer holds')
      return
    }
    this.#readBody(message, exchange, fields, index, body => {
      this.#unlessGone(exchange, fields, () => { this.#start(exchange, fields, index, route, customer, body, arrivedAt) })
    })
  }

  /**
   * A host that was held up reads a request long after it was sent, and its caller's
   * leaving in the turn after that. It looks before it sends the request on.
   */
  #unlessGone (exchange: CallerExchange, fields: CallerFields, start: () => void): void {
    if (!this.ports.isLagging()) {
      start()
      return
    }
    const look = (): void => {
      if (exchange.isAbandoned) this.ports.telemetry.logDecision('caller-left', fields.requestId ?? '', { run: 'not-run', isLagging: true })
      else start()
    }
    setImmediate(() => { setImmediate(look) })
  }

  #readBody (message: IncomingMessage, exchange: CallerExchange, fields: CallerFields, index: SiteIndex, onBody: (body: Buffer | undefined) => void): void {
    const limit = index.site.limits.bodyBytes
    const refuseLarge = (): void => { this.#refuse(exchange, fields, 'body-too-large', 413, `the body is larger than ${limit} bytes`) }
    if (Number(message.headers['content-length'] ?? 0) > limit) {
      refuseLarge()
      return
    }
    const chunks: Buffer[] = []
    let bytes = 0
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (exchange.hasEnded) return
      if (bytes > limit) refuseLarge()
      else chunks.push(chunk)
    })
    message.on('end', () => {
      if (exchange.hasEnded) return
      const hasBody = bytes > 0 || message.headers['content-length'] !== undefined || message.headers['transfer-encoding'] !== undefined
      onBody(hasBody ? Buffer.concat(chunks) : undefined)
    })
  }

  #start (
    exchange: CallerExchange, fields: CallerFields, index: SiteIndex, route: Route, customer: SiteCustomer | undefined,
    body: Buffer | undefined, arrivedAt: number
  ): void {
    const service = index.services.get(index.selectService(route, Math.random()))
    if (service === undefined) {
      this.#refuse(exchange, fields, 'no-endpoint', 503, `route ${route.name} leads to no service`, ASK_AGAIN_SECONDS)
      return
    }
    const ports = this.#portsOf(service.name)
    ports.allowance.recordRequest(this.ports.liveHosts())
    this.#requests.count(route.kind)
    const id = fields.requestId ?? ''
    const regionBound = regionBoundOf(route, customer, this.ports.regions)
    const request = { id, route, service, customer, regionBound, fields, body, arrivedAt, siteVersion: index.site.version }
    const task = new RoutedRequestTask(request, exchange, ports)
    this.#underWay.set(exchange, task)
    task.start()
  }

  #refuseDraining (exchange: CallerExchange): void {
    const fields = this.ports.codec.readRequestHeaders(exchange.request.rawHeaders)
    this.#refuse(exchange, fields, 'draining', 503, 'this host is stopping; ask another', ASK_AGAIN_SECONDS)
  }

  #refuse (
    exchange: CallerExchange, fields: CallerFields, reason: RefusalReason, status: number, detail: string, retryAfterSeconds?: number
  ): void {
    this.#refusals.count(reason)
    this.ports.telemetry.logDecision('refused', fields.requestId ?? '', {
      reason, status, run: 'not-run', detail, siteVersion: this.#index?.site.version ?? -1
    })
    exchange.refuse(refuse({ reason, status, detail, ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }) }, new DispatchRecord()))
  }

  #portsOf (service: string): RoutedPorts {
    const present = this.#requestPorts.get(service)
    if (present !== undefined) return present
    const { fleet, codec, telemetry, stop, quarantine, budget } = this.ports
    const ports: RoutedPorts = {
      fleet,
      codec,
      telemetry,
      stop,
      quarantine,
      allowance: new RetryAllowance(budget),
      durations: this.#durations,
      retries: this.#retries,
      refusals: this.#refusals,
      firstEvent: this.#firstEvent,
      silenceLooks: this.#silenceLooks,
      desiredVersion: model => this.ports.desiredVersion(model),
      leftMsOn: (model, version) => this.ports.remainingMsForVersion(model, version),
      storesUsable: now => this.ports.areStoresUsable(now),
      storeClockMs: now => this.ports.storeClockMs(now),
      beforePlacing: place => { this.ports.withRecentLoad(place) }
    }
    this.#requestPorts.set(service, ports)
    return ports
  }
}

function headerBytes (message: IncomingMessage): number {
  const { rawHeaders } = message
  // Two bytes between name and value, two at the end of each line.
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0)
}
