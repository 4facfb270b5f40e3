/**
 * The HTTP server for routed requests. It authenticates the caller, finds the route, and
 * enforces the site's size limits.
 *
 * Uses Node's HTTP server rather than h3, because bytes are passed between sockets as buffers,
 * and each connection has to be closed, kept or aborted exactly as the response requires.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { ClientErrors, type ClientError } from '@eelgrassmux/daemon/ClientErrors'
import type { EarlyListener } from '@eelgrassmux/daemon/EarlyListener'
import type { MemoryLevel } from '@eelgrassmux/daemon/MemoryGuard'
import { surviveAcceptErrors } from '@eelgrassmux/daemon/surviveAcceptErrors'
import type { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { isOverShare } from '@eelgrassmux/routing/admission/isOverShare'
import type { RetryBudgetTerms } from '@eelgrassmux/routing/attempts/RetryAllowance'
import type { StreamOrigin } from '@eelgrassmux/routing/streams/streamOrigin'
import { regionBoundOf } from '@eelgrassmux/routing/places/RegionBound'
import { SiteIndex } from '@eelgrassmux/routing/site/SiteIndex'
import { DispatchRecord, refuse, type RefusalReason } from '@eelgrassmux/schema/Refusal'
import type { Route, Site, SiteCustomer } from '@eelgrassmux/schema/site/siteSchema'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { ViewLagReport } from '@eelgrassmux/view/ViewLag'
import { FaultBoundary, RequestFaults } from '../faults/RequestFaults.js'
import type { GracefulShutdown } from '../GracefulShutdown.js'
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.js'
import type { RetryTokens } from '../retries/RetryTokens.js'
import { isConnectionCheck, readRelayHeader } from '../relays/relayHeaders.js'
import type { RelayHosts } from '../relays/RelayHosts.js'
import type { RelayTicketChecks } from '../relays/RelayTicketChecks.js'
import type { StreamDirectory } from '../streams/StreamDirectory.js'
import type { CallerConnections } from './CallerConnections.js'
import { CallerExchange } from './CallerExchange.js'
import type { WaitingExchange } from '../waiting/WaitingExchange.js'
import type { EngineReservations } from './EngineReservations.js'
import type { CallerFields, RequestCodec } from './RequestCodec.js'
import { areProperHeaders } from './headers.js'
import { headerBytes, readBody } from './requestBytes.js'
import { RequestTurns, type ArrivedRequest } from './RequestTurns.js'
import { RequestBodies, requestBodyBounds, type RefusedBodyDetails } from './RequestBodies.js'
import type { ResponseMemory } from './ResponseMemory.js'
import { retryAfterSecondsFor } from './retryAfterSecondsFor.js'
import type { RoutedFleet } from './RoutedFleet.js'
import { RoutedRequestTask } from './RoutedRequestTask.js'
import { ServicePorts } from './ServicePorts.js'
import { SiteRefusals, type SiteRefusal } from './SiteRefusals.js'
import type { SlowReaders } from './SlowReaders.js'
import { StartupQueue } from './StartupQueue.js'

/** Dependencies of the server. */
export interface RoutedServerPorts {
  readonly fleet: RoutedFleet
  readonly codec: RequestCodec
  readonly work: WorkGate
  readonly stop: GracefulShutdown
  readonly telemetry: Telemetry
  readonly quarantine: RequestQuarantine
  readonly budget: RetryBudgetTerms
  /** Returns the tokens of a service in the budget that hosts share; absent if they never share it. */
  readonly sharedRetryTokens?: (service: string) => RetryTokens
  /** Bounds on what slow readers hold; absent if they are never counted. */
  readonly slowReaders?: SlowReaders
  /** Bounds on unfinished responses; those of a host of a default size if absent. */
  readonly responseMemory?: ResponseMemory
  /** Bound on the open connections of callers; none if absent. */
  readonly connections?: CallerConnections
  /** Bounds on the bodies of callers' requests; those of a host of a default size if absent. */
  readonly requestBodies?: RequestBodies
  /** Other hosts, and checks of the requests that they relay; absent if there are none. */
  readonly relays?: { readonly hosts: RelayHosts, readonly tickets: RelayTicketChecks }
  /** Origins of streams that callers take up; absent if they are not known. */
  readonly streams?: StreamDirectory
  /** Queue of all hosts; absent if this host has none. */
  readonly waiting?: WaitingExchange
  /** Reservations at engines; absent if the platform has none. */
  readonly reservations?: EngineReservations | undefined
  /** Region of each data centre. */
  readonly regions: ReadonlyMap<string, string>
  liveHosts (): number
  desiredVersion (model: string): number
  /** Milliseconds during which requests may still begin on weights of that version. */
  remainingMsForVersion (model: string, version: number): number
  /** How far this host is behind the newest configuration; absent if it is not known. */
  viewLag? (): ViewLagReport
  /** Whether this host may serve requests under the site configuration that it has. */
  isSiteUsable (): boolean
  /** Whether this host's knowledge of the stores is recent enough to use. */
  areStoresUsable (now: number): boolean
  /** Time on the stores' clock, in milliseconds; undefined until it is known. */
  storeClockMs (now: number): number | undefined
  /** Calls `place` at once if the load of the other hosts is known recently enough, otherwise after requesting it. */
  withRecentLoad (place: () => void): void
  /** Whether the event loop of this process was blocked for a while, so that its sockets were not read. */
  isLagging (): boolean
  /** Whether this process is close to its limit on memory; ample if absent. */
  readonly memory?: MemoryLevel
}

/** A request that was read completely and may be served. */
interface AdmittedRequest {
  readonly exchange: CallerExchange
  readonly fields: CallerFields
  readonly index: SiteIndex
  readonly route: Route
  readonly customer: SiteCustomer | undefined
  readonly body: Buffer | undefined
  readonly arrivedAt: number
  readonly isCountedElsewhere: boolean
}

/** Largest headers that Node accepts, in bytes. The site's own limit is lower and is checked afterwards. */
const MAX_HEADER_BYTES = 64 * 1024

const NO_CONTENT = 204

/** Length of the listen backlog, in connections. */
const ACCEPT_BACKLOG = 4096

/** Interval at which Node checks connections for header timeouts, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 1000

/** Time that {@link RoutedServer.close} gives to responses still being written, in milliseconds. These are late refusals, which no other step of the shutdown waits for. */
const CLOSE_TIMEOUT_MS = 100

/** Requests under way below which a host that is short of memory still accepts more; so few hold little of it. */
const REQUESTS_WHILE_SHORT = 32

/** Retry-After of refusals after which the caller should try another host, in seconds. */
const RETRY_AFTER_SECONDS = 0.3

/** Serves routed requests until drained. */
export class RoutedServer {
  readonly #server: Server
  readonly #servicePorts: ServicePorts
  readonly #refusals: LabelledCounter
  readonly #requests: LabelledCounter
  readonly #relayed: LabelledCounter
  readonly #closedUnread: LabelledCounter
  readonly #startup: StartupQueue
  readonly #turns: RequestTurns
  readonly #siteRefusals: SiteRefusals
  readonly #clientErrors: ClientErrors
  readonly #faults: RequestFaults
  readonly #bodies: RequestBodies
  #index: SiteIndex | undefined
  #lastRequestAt = 0
  #openConnections = 0
  /** Requests without a complete response; the task is undefined until the request has been routed. */
  readonly #pendingRequests = new Map<CallerExchange, RoutedRequestTask | undefined>()

  /**
   * @param ports - dependencies
   * @param startedAt - when this host started, in monotonic milliseconds; 0 is the start of the process
   */
  constructor (private readonly ports: RoutedServerPorts, startedAt = 0) {
    const { telemetry } = ports
    this.#startup = new StartupQueue(startedAt)
    telemetry.gauge('requests_waiting_for_site', 'Requests that wait until this host knows the site', () => this.#startup.length)
    this.#turns = new RequestTurns(telemetry)
    this.#siteRefusals = new SiteRefusals(ports)
    this.#refusals = telemetry.labelledCounter('routed_refusals_total', 'Refusals of routed requests by reason')
    this.#faults = new RequestFaults(telemetry)
    this.#bodies = ports.requestBodies ?? new RequestBodies(requestBodyBounds(0), telemetry)
    this.#servicePorts = new ServicePorts(ports, this.#refusals, this.#faults)
    this.#requests = telemetry.labelledCounter('routed_requests_total', 'Routed requests by route kind', 'kind')
    this.#relayed = telemetry.labelledCounter('relayed_requests_total', 'Requests that other hosts relayed to this one, by whether their ticket was valid', 'ticket')
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS, keepAlive: true })
    this.#server.requestTimeout = 0
    surviveAcceptErrors(this.#server, telemetry, 'callers')
    this.#closedUnread = telemetry.labelledCounter('connections_closed_unread_total', 'Connections of callers that this host closed unread')
    this.#server.on('connection', (socket: Socket) => {
      if (this.ports.connections?.add(socket) === false) return
      this.#openConnections += 1
      socket.once('close', () => { this.#openConnections -= 1 })
      this.#turns.noteConnection()
      this.#closeIfOverShare(socket)
    })
    telemetry.gauge('caller_connections', 'Open connections of callers', () => this.#openConnections)
    this.#server.on('request', (request, response) => { this.#accept(request, response) })
    this.#server.on('checkContinue', (request, response: ServerResponse) => {
      response.writeContinue()
      this.#accept(request, response)
    })
    this.#clientErrors = new ClientErrors(this.#server, error => { this.#logClientError(error) })
  }

  /**
   * Starts listening.
   *
   * @param host - IP address
   * @param port - port, or 0 for any free port
   * @param early - listener that was opened during startup; it is taken over if its address matches, otherwise closed
   * @returns the port that the server listens on
   */
  async listen (host: string, port: number, early?: EarlyListener): Promise<number> {
    if (early?.isListeningOn(host, port) === true) {
      await early.transferTo(this.#server)
    } else {
      early?.close()
      await new Promise<void>((resolve, reject) => {
        this.#server.once('error', reject)
        this.#server.listen({ host, port, backlog: ACCEPT_BACKLOG }, resolve)
      })
    }
    return (this.#server.address() as AddressInfo).port
  }

  /** @param site - site configuration to apply */
  configure (site: Site): void {
    this.#index = new SiteIndex(site)
    this.#server.headersTimeout = site.limits.headerTimeoutMs
    this.#server.keepAliveTimeout = site.limits.idleTimeoutMs
  }

  /** Releases requests that waited for the site, if this host now knows enough to serve them or is stopping. */
  releaseWaiting (): void {
    this.#siteRefusals.releaseWaiting()
    if (this.ports.stop.isStopping) this.#startup.releaseAll()
    else if (this.#isReadyToServe()) this.#startup.release()
  }

  /** Whether a site configuration has been applied. */
  get isConfigured (): boolean { return this.#index !== undefined }

  /** Closes connections without a pending request, so that callers reconnect to other hosts. */
  closeIdleConnections (): void {
    this.#server.closeIdleConnections()
  }

  /** Number of open connections of callers. */
  get openConnections (): number { return this.#openConnections }

  /** When the last request arrived, in monotonic milliseconds. */
  get lastRequestAt (): number { return this.#lastRequestAt }

  /** Logs the pending requests, so that requests which the stop aborts later can be identified. */
  logUnderWay (): void {
    for (const task of this.#pendingRequests.values()) task?.logStop('awaited-by-stop', { sinceSignalMs: Math.round(this.ports.stop.sinceSignalMs) })
  }

  /** Ends all pending requests because the process is about to be killed. */
  cutUnderWay (): void {
    for (const [exchange, task] of [...this.#pendingRequests]) {
      if (task !== undefined) task.endForStop(this.ports.stop.sinceSignalMs)
      else if (!exchange.hasEnded) this.#refuseDraining(exchange)
    }
  }

  /** Closes the server. Responses that are still being written get {@link CLOSE_TIMEOUT_MS}. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      const overdue = setTimeout(() => { this.#server.closeAllConnections() }, CLOSE_TIMEOUT_MS)
      this.#server.close(() => {
        clearTimeout(overdue)
        resolve()
      })
    })
  }

  /** Whether this host knows enough to serve requests. That includes the load of the other hosts, because after a common start all hosts release their waiting requests at the same moment. */
  #isReadyToServe (): boolean {
    const { fleet } = this.ports
    return this.#index !== undefined && this.ports.isSiteUsable() && fleet.hasEndpoints && fleet.isLoadKnown
  }

  /** Closes a connection of the balancer unread if this host has far more than its share of the requests. */
  #closeIfOverShare (socket: Socket): void {
    const { fleet, liveHosts, isLagging } = this.ports
    const share = { ownRequests: this.#pendingRequests.size, otherRequests: fleet.otherHostsLoad.requestsInFlight(performance.now()), liveHosts: liveHosts(), isLagging: this.#turns.isBehind || isLagging() }
    if (!isOverShare(share)) return
    this.#closedUnread.count('over-share')
    socket.destroy()
  }

  #logClientError ({ code, status, awaited }: ClientError): void {
    for (const message of awaited) {
      const { requestId = '' } = this.ports.codec.readRequestHeaders(message.rawHeaders)
      this.ports.telemetry.logDecision('caller-connection-failed', requestId, { code, status, awaited: awaited.length })
    }
  }

  #accept (message: IncomingMessage, response: ServerResponse): void {
    const arrivedAt = performance.now()
    this.#lastRequestAt = arrivedAt
    this.#countRequest(message.socket, response)
    const exchange = new CallerExchange(message, response, () => this.ports.stop.isStopping)
    // The caller sent this request before it saw that the connection is closing; it can't be answered.
    if (exchange.isAfterLastResponse || this.#clientErrors.isEnding(message.socket)) return
    const ticket = this.ports.work.tryBegin()
    if (ticket === undefined) {
      this.#refuseDraining(exchange)
      return
    }
    this.#pendingRequests.set(exchange, undefined)
    exchange.onClosed(() => {
      this.#pendingRequests.delete(exchange)
      ticket.end()
    })
    if (exchange.isRelayed && isConnectionCheck(message.method, message.url)) {
      exchange.sendWhole(NO_CONTENT, [], Buffer.alloc(0))
      return
    }
    this.#contain(exchange, '', () => {
      this.#beginInTurn(message, exchange, this.ports.codec.readRequestHeaders(message.rawHeaders), arrivedAt)
    })
  }

  #beginInTurn (message: IncomingMessage, exchange: CallerExchange, fields: CallerFields, arrivedAt: number): void {
    const id = fields.requestId ?? ''
    const arrived: ArrivedRequest = {
      deadlineMs: fields.deadlineMs,
      begin: () => {
        // A stop may have refused it in the meantime.
        if (exchange.hasEnded) return
        this.#contain(exchange, id, () => {
          if (exchange.isRelayed) this.#acceptRelayed(message, exchange, fields, arrivedAt)
          else this.#acceptDirect(message, exchange, fields, arrivedAt)
        })
      },
      refuse: expectedMs => { if (!exchange.isAbandoned) this.#refuseOverloaded(exchange, fields, expectedMs, arrivedAt) }
    }
    if (!this.#turns.add(arrived)) return
    exchange.onCallerLeft(() => {
      if (this.#turns.remove(arrived)) this.ports.telemetry.logDecision('caller-left', id, { run: 'not-run' })
    })
  }

  /** Other hosts have room now; alone, this host has room once it has begun the requests that wait. */
  #refuseOverloaded (exchange: CallerExchange, fields: CallerFields, expectedMs: number, arrivedAt: number): void {
    const remainingMs = (fields.deadlineMs ?? Number.POSITIVE_INFINITY) - (performance.now() - arrivedAt)
    const freeInMs = this.ports.liveHosts() > 1 ? 0 : expectedMs
    this.#refuse(exchange, fields, 'host-overloaded', 503, 'this host has more requests than it can begin in time; ask another', retryAfterSecondsFor('host-overloaded', freeInMs, remainingMs))
  }

  #countRequest (socket: Socket, response: ServerResponse): void {
    const { connections } = this.ports
    connections?.begin(socket)
    response.once('close', () => { connections?.end(socket) })
  }

  /** Runs a step of a request that has no task yet. An exception ends the request; nothing of it has been sent. */
  #contain (exchange: CallerExchange, requestId: string, step: () => void): void {
    new FaultBoundary(this.#faults, requestId, () => {
      if (exchange.hasHead) exchange.abort()
      else exchange.refuse(refuse({ reason: 'internal-fault', status: 502, detail: 'this host failed while it handled the request' }, new DispatchRecord()))
    }).run(step, undefined)
  }

  #acceptDirect (message: IncomingMessage, exchange: CallerExchange, fields: CallerFields, arrivedAt: number): void {
    const route = (): void => { this.#contain(exchange, fields.requestId ?? '', () => { this.#route(message, exchange, fields, arrivedAt) }) }
    if (this.#isReadyToServe() || this.ports.stop.isStopping || !this.#startup.enqueue(exchange, fields.deadlineMs, arrivedAt, route)) {
      route()
      return
    }
    this.ports.telemetry.logDecision('waits-for-site', fields.requestId ?? '', {
      siteVersion: this.#index?.site.version ?? -1, areEndpointsKnown: this.ports.fleet.hasEndpoints, isLoadKnown: this.ports.fleet.isLoadKnown, waiting: this.#startup.length
    })
  }

  /**
   * Serves a request that another host relays. A host that has just started refuses it instead of holding it, because another one may be ready.
   * A request without a valid ticket is served like any other, but never relayed.
   */
  #acceptRelayed (message: IncomingMessage, exchange: CallerExchange, fields: CallerFields, receivedAt: number): void {
    const { ticket, ageMs } = readRelayHeader(message.rawHeaders) ?? { ticket: '', ageMs: 0 }
    const admit = (isVerified: boolean): void => {
      if (exchange.isAbandoned) return
      this.#relayed.count(isVerified ? 'verified' : 'unverified')
      if (!isVerified) this.#acceptDirect(message, exchange, fields, receivedAt)
      else if (this.#isReadyToServe() || (this.ports.fleet.hasEndpoints && !this.#startup.isStarting(receivedAt))) this.#route(message, exchange, fields, receivedAt - ageMs, true)
      else this.#refuse(exchange, fields, 'configuration-stale', 503, 'this host is not ready yet', RETRY_AFTER_SECONDS)
    }
    const route = (isVerified: boolean): void => { this.#contain(exchange, fields.requestId ?? '', () => { admit(isVerified) }) }
    if (this.ports.relays === undefined) route(false)
    else this.ports.relays.tickets.check(ticket, route)
  }

  #route (message: IncomingMessage, exchange: CallerExchange, fields: CallerFields, arrivedAt: number, isCountedElsewhere = false): void {
    const index = this.#index
    if (index === undefined || !this.ports.isSiteUsable()) {
      this.#refuse(exchange, fields, 'configuration-stale', 503, 'this host does not know the site yet', RETRY_AFTER_SECONDS)
      return
    }
    if (this.ports.memory?.isShedding === true && this.#pendingRequests.size > REQUESTS_WHILE_SHORT) {
      this.#refuse(exchange, fields, 'host-memory', 503, 'this host has no memory for another request now', RETRY_AFTER_SECONDS)
      return
    }
    if (headerBytes(message) > index.site.limits.headerBytes) {
      this.#refuse(exchange, fields, 'headers-too-large', 431, `the headers are larger than ${index.site.limits.headerBytes} bytes`)
      return
    }
    if (!areProperHeaders(message.rawHeaders)) {
      this.#refuse(exchange, fields, 'malformed-headers', 400, 'a header has no name, or there are several Host headers')
      return
    }
    const refuseBySite = (refusal: SiteRefusal): void => {
      this.#siteRefusals.refuse({ exchange, fields, arrivedAt, refusal }, {
        refuse: ({ reason, status, detail }) => { this.#refuse(exchange, fields, reason, status, detail) },
        refuseAsStale: () => { this.#refuse(exchange, fields, 'configuration-stale', 503, 'this host may not know the newest site', RETRY_AFTER_SECONDS) },
        routeAgain: () => { this.#contain(exchange, fields.requestId ?? '', () => { this.#route(message, exchange, fields, arrivedAt, isCountedElsewhere) }) }
      })
    }
    const route = index.routes.find(message.headers.host ?? '', message.url ?? '/')
    if (route === undefined) {
      refuseBySite({ reason: 'unknown-path', status: 404, detail: `there is no route for ${message.headers.host ?? ''} ${message.url ?? ''}` })
      return
    }
    const customer = fields.key === undefined ? undefined : index.customerByKey(fields.key)
    if (index.needsKeys && !route.isPublic && customer === undefined) {
      refuseBySite({ reason: 'unknown-credential', status: 401, detail: 'send a key that a customer holds' })
      return
    }
    const limit = index.site.limits.bodyBytes
    const room = this.#bodies.open({
      customer: customer?.name ?? '',
      deadlineMs: fields.deadlineMs,
      refuse: details => { this.#refuseBody(exchange, fields, details) }
    })
    exchange.onClosed(() => { room.close() })
    readBody(message, exchange, limit, room, {
      tooLarge: () => { this.#refuse(exchange, fields, 'body-too-large', 413, `the body is larger than ${limit} bytes`) },
      complete: body => {
        this.#unlessAbandoned(exchange, fields, () => {
          this.#contain(exchange, fields.requestId ?? '', () => { this.#startOrResume({ exchange, fields, index, route, customer, body, arrivedAt, isCountedElsewhere }) })
        })
      }
    })
  }

  /** Refuses a request whose body has no room, or gives way to others. */
  #refuseBody (exchange: CallerExchange, fields: CallerFields, details: RefusedBodyDetails): void {
    if (exchange.hasEnded) return
    this.ports.telemetry.logDecision('request-body-refused', fields.requestId ?? '', details)
    this.#refuse(exchange, fields, 'host-memory', 503, 'this host has no memory for the body now', RETRY_AFTER_SECONDS)
  }

  /**
   * Calls `start` unless the caller has disconnected. After a blocked event loop, a request
   * is read long after it was sent, and the caller's disconnect only in the following turn,
   * so the check waits for that turn.
   */
  #unlessAbandoned (exchange: CallerExchange, fields: CallerFields, start: () => void): void {
    if (!this.ports.isLagging()) {
      start()
      return
    }
    const check = (): void => {
      if (exchange.isAbandoned) this.ports.telemetry.logDecision('caller-left', fields.requestId ?? '', { run: 'not-run', isLagging: true })
      else start()
    }
    setImmediate(() => { setImmediate(check) })
  }

  /** Starts a request. A stream that its caller takes up waits until it is known what began it. */
  #startOrResume (admitted: AdmittedRequest): void {
    const { exchange, fields, route } = admitted
    const { streams } = this.ports
    if (fields.lastEventId === undefined || !route.isResumable) return this.#start(admitted)
    const resume = (origin: StreamOrigin | undefined): void => {
      if (exchange.isAbandoned) this.ports.telemetry.logDecision('caller-left', fields.requestId ?? '', { run: 'not-run' })
      else this.#resume(admitted, origin)
    }
    if (streams === undefined) this.#start(admitted)
    else streams.find({ id: fields.resumes, route: route.name, maxAgeMs: route.timeoutMs }, origin => { this.#contain(exchange, fields.requestId ?? '', () => { resume(origin) }) })
  }

  /** What two software versions write does not fit together, and endpoints do not check it. */
  #resume (admitted: AdmittedRequest, origin: StreamOrigin | undefined): void {
    const { exchange, fields, route } = admitted
    const refuse = (detail: string): void => { this.#refuse(exchange, fields, 'stream-not-resumable', 503, detail, RETRY_AFTER_SECONDS) }
    if (origin === undefined) refuse('it is not known which software version began the stream')
    else if (!route.targets.some(({ service }) => service === origin.service)) refuse('the route no longer leads to the service that began the stream')
    else this.#start(admitted, origin)
  }

  #start ({ exchange, fields, index, route, customer, body, arrivedAt, isCountedElsewhere }: AdmittedRequest, origin?: StreamOrigin): void {
    const service = index.services.get(origin?.service ?? index.selectService(route, Math.random()))
    if (service === undefined) {
      this.#refuse(exchange, fields, 'no-endpoint', 503, `route ${route.name} leads to no service`, RETRY_AFTER_SECONDS)
      return
    }
    const ports = this.#servicePorts.of(service.name)
    if (!isCountedElsewhere) ports.allowance.recordRequest(this.ports.liveHosts())
    this.#requests.count(route.kind)
    const id = fields.requestId ?? ''
    const regionBound = regionBoundOf(route, customer, this.ports.regions)
    const request = { id, route, service, customer, sharingGroup: index.sharingGroup, regionBound, fields, origin, body, isRelayed: exchange.isRelayed, arrivedAt, siteVersion: index.site.version }
    const task = new RoutedRequestTask(request, exchange, ports)
    this.#pendingRequests.set(exchange, task)
    task.start()
  }

  #lagFields (): { viewsBehind?: number, viewBehindMs?: number, viewConfirmedMs?: number } {
    const lag = this.ports.viewLag?.()
    if (lag === undefined) return {}
    return { viewsBehind: lag.viewsBehind, viewBehindMs: Math.round(lag.behindMs), ...(Number.isFinite(lag.confirmedMs) ? { viewConfirmedMs: Math.round(lag.confirmedMs) } : {}) }
  }

  #refuseDraining (exchange: CallerExchange): void {
    const fields = this.ports.codec.readRequestHeaders(exchange.request.rawHeaders)
    this.#refuse(exchange, fields, 'draining', 503, 'this host is stopping; ask another', RETRY_AFTER_SECONDS)
  }

  #refuse (
    exchange: CallerExchange, fields: CallerFields, reason: RefusalReason, status: number, detail: string, retryAfterSeconds?: number
  ): void {
    this.#refusals.count(reason)
    this.ports.telemetry.logDecision('refused', fields.requestId ?? '', {
      reason, status, run: 'not-run', detail, siteVersion: this.#index?.site.version ?? -1, ...this.#lagFields()
    })
    exchange.refuse(refuse({ reason, status, detail, ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }) }, new DispatchRecord()))
  }
}
