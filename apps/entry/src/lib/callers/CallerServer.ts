/** HTTP server for callers: authenticates requests, checks that this host may act, and routes them to handlers. */
import { createHash } from 'node:crypto'
import type { ServerResponse } from 'node:http'
import { H3, serve, type H3Event } from 'h3'
import { portOf } from '@eelgrassmux/daemon/AdminServer'
import { handleClientErrors } from '@eelgrassmux/daemon/ClientErrors'
import type { WorkGate, WorkTicket } from '@eelgrassmux/daemon/WorkGate'
import type { Customer } from '@eelgrassmux/schema/configuration'
import type { ConfigurationIndex } from '@eelgrassmux/schema/ConfigurationIndex'
import { assertInvariant } from '@eelgrassmux/schema/invariant'
import type { Refusal, RefusalReason } from '@eelgrassmux/schema/Refusal'
import type { Result } from '@eelgrassmux/schema/Result'
import type { LabelledCounter } from '@eelgrassmux/telemetry/Telemetry'
import type { GracefulShutdown } from '../GracefulShutdown.js'
import type { PlainHandler } from '../plain/PlainHandler.js'
import type { CompletionHandler } from './CompletionHandler.js'
import { problemResponse } from './problem.js'
import { refuseUndispatched } from './readBody.js'

/** Dependencies of the server. */
export interface CallerPorts {
  configuration (): ConfigurationIndex
  /** Whether the configuration in force is currently confirmed as the newest. */
  isFresh (): boolean
  /** Whether a control host has stated a newer view than the one in force. */
  isBehind (): boolean
  readonly refusals: LabelledCounter
  readonly work: WorkGate
  readonly stop: GracefulShutdown
}

/** Refusals of what the configuration in force does not contain; a newer one may. */
const CONFIGURATION_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>(['unknown-credential', 'unknown-service'])

/** Answers a request of an authenticated customer; returns undefined if it has streamed the answer itself. */
type Handler = (event: H3Event, customer: Customer) => Promise<Result<Response | undefined, Refusal>>

/** Serves callers until drained. */
export class CallerServer {
  #server: ReturnType<typeof serve> | undefined
  #lastRequestAt = 0

  /**
   * @param completions - handles completion requests
   * @param plain - handles calls to plain services
   * @param ports - dependencies
   */
  constructor (
    private readonly completions: CompletionHandler,
    private readonly plain: PlainHandler,
    private readonly ports: CallerPorts
  ) {}

  /**
   * Starts listening.
   *
   * @param host - IP address
   * @param port - port, 0 for a free one
   * @returns the port
   */
  async listen (host: string, port: number): Promise<number> {
    const server = serve(this.#routes(), { hostname: host, port, gracefulShutdown: false, silent: true })
    this.#server = server
    handleClientErrors(server.node?.server)
    await server.ready()
    return portOf(server.url)
  }

  /** Time at which the last request for new work arrived, in monotonic milliseconds. */
  get lastRequestAt (): number { return this.#lastRequestAt }

  /** Closes connections on which no request is under way. */
  closeIdleConnections (): void {
    const server = this.#server?.node?.server
    if (server !== undefined && 'closeIdleConnections' in server) server.closeIdleConnections()
  }

  /** Waits for open responses, then closes. */
  async close (): Promise<void> {
    await this.#server?.close()
  }

  #routes (): H3 {
    const app = new H3()
    app.post('/v1/completions', this.#handleNewWork(async (event, customer) => await this.completions.complete(event.req, connectionOf(event), customer, 'text')))
    app.post('/v1/chat/completions', this.#handleNewWork(async (event, customer) => await this.completions.complete(event.req, connectionOf(event), customer, 'chat')))
    app.get('/v1/runs/:run', this.#handleContinuation(async (event, customer) =>
      await this.completions.resume(connectionOf(event), customer, event.context.params?.run ?? '', event.url.searchParams)))
    app.all('/services/:service/**', this.#handleNewWork(async (event, customer) => {
      const service = event.context.params?.service ?? ''
      const path = event.url.pathname.slice(`/services/${service}`.length) + event.url.search
      return await this.plain.handle(event.req, customer, service, path)
    }))
    app.all('/**', event => this.#refuse(refuseUndispatched({ reason: 'unknown-path', status: 404, detail: `there is nothing at ${event.url.pathname}`, field: 'path' })))
    return app
  }

  /** Wraps a handler of new work, which is refused while the host is stopping. */
  #handleNewWork (handler: Handler): (event: H3Event) => Promise<Response> {
    return this.#authenticated(async (event, customer) => {
      this.#lastRequestAt = performance.now()
      const ticket = this.ports.work.tryBegin()
      if (ticket === undefined) {
        return { ok: false, error: refuseUndispatched({ reason: 'draining', status: 503, detail: 'this host is stopping; ask another', retryAfterSeconds: 1 }) }
      }
      return await this.#withTicket(ticket, event, customer, handler)
    })
  }

  /** Wraps a handler that continues an existing run, which is allowed while the host drains. */
  #handleContinuation (handler: Handler): (event: H3Event) => Promise<Response> {
    return this.#authenticated(async (event, customer) =>
      await this.#withTicket(this.ports.work.beginFollowUp(), event, customer, handler))
  }

  /** Ends the ticket with the handler, which writes streams to their end itself. */
  async #withTicket (ticket: WorkTicket, event: H3Event, customer: Customer, handler: Handler): Promise<Result<Response | undefined, Refusal>> {
    try {
      return await handler(event, customer)
    } finally {
      ticket.end()
    }
  }

  #authenticated (handler: Handler): (event: H3Event) => Promise<Response> {
    return async event => {
      // A stopping host closes each connection after its current answer.
      if (this.ports.stop.isStopping) connectionOf(event).shouldKeepAlive = false
      // The mapping of credentials to customers is part of the configuration, so freshness is checked first.
      if (!this.ports.isFresh()) return this.#refuse(staleConfiguration('this host can not confirm its configuration; ask another'))
      const customer = this.#customer(event.req.headers.get('authorization'))
      if (customer === undefined) {
        return this.#refuse(refuseUndispatched({ reason: 'unknown-credential', status: 401, detail: 'send a known credential as a bearer token', field: 'Authorization' }))
      }
      const result = await handler(event, customer)
      if (!result.ok) return this.#refuse(result.error)
      // After a stream the head is already sent, and an empty response has no effect.
      return result.value ?? new Response(null)
    }
  }

  #refuse (refusal: Refusal): Response {
    const isOutdated = CONFIGURATION_REASONS.has(refusal.reason) && this.ports.isBehind()
    const stated = isOutdated ? staleConfiguration('this host has not received the newest configuration yet; ask another') : refusal
    this.ports.refusals.count(stated.reason)
    return problemResponse(stated)
  }

  #customer (authorization: string | null): Customer | undefined {
    const credential = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1]
    if (credential === undefined) return undefined
    return this.ports.configuration().customerByCredential(createHash('sha256').update(credential).digest('hex'))
  }
}

/** Returns the Node.js response of a request; it always exists because the server runs on Node.js. */
function connectionOf (event: H3Event): ServerResponse {
  const connection = event.runtime?.node?.res
  assertInvariant(connection !== undefined, 'caller-connection', () => 'the request has no Node.js response')
  return connection as ServerResponse
}

function staleConfiguration (detail: string): Refusal {
  return refuseUndispatched({ reason: 'configuration-stale', status: 503, detail, retryAfterSeconds: 1 })
}
