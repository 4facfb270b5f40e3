/** A request that this host has another entry host serve, because it does not reach the endpoints itself. */
import { guardResponse } from '../faults/guardResponse.js'
import type { FaultBoundary } from '../faults/RequestFaults.js'
import type { CallerExchange } from '../routed/CallerExchange.js'
import type { CancelRequest } from '../routed/EndpointConnection.js'
import { RELAY_REFUSED_HEADER, connectionCheck, isRelayRefused, writeRelayHeaders } from './relayHeaders.js'
import type { RelayConnection, RelayHosts } from './RelayHosts.js'

/** Most hosts that one request is offered to. */
const MAX_OFFERS = 3

/** Timeout of the check of a new connection, in milliseconds. Hosts answer it without any other work. */
const CHECK_TIMEOUT_MS = 300

/** Receives the course of a relayed request. `unavailable`, `lost` or `complete` is the last call. */
export interface RelayListener {
  /** Called before the first byte may be sent to another host. @returns false if the request may not be sent any more */
  sending (host: string): boolean
  /** The host has stated that the request did not run. */
  refused (host: string): void
  /**
   * No host has taken the request, which did not run.
   *
   * @param asked - number of hosts that were asked
   */
  unavailable (asked: number): void
  /** The response broke off, or never began; the request may have run. */
  lost (host: string, detail: string): void
  /** Called before the end of the response is written. */
  complete (host: string, status: number): void
}

/** Offers one request to other hosts in turn, and passes the response on. */
export class RelayedRequest {
  readonly #tried = new Set<string>()
  #cancelSend: CancelRequest = () => {}
  #isDone = false
  #hasHead = false

  /**
   * @param exchange - connection to the caller, whose request has been read
   * @param body - body of the request
   * @param arrivedAt - when the request was read, in monotonic milliseconds
   * @param hosts - other hosts
   * @param listener - receives the course of the request
   * @param steps - boundary of the request's steps
   */
  constructor (
    private readonly exchange: CallerExchange,
    private readonly body: Buffer | undefined,
    private readonly arrivedAt: number,
    private readonly hosts: RelayHosts,
    private readonly listener: RelayListener,
    private readonly steps: FaultBoundary
  ) {}

  /** Whether a response has begun. */
  get isAnswering (): boolean { return this.#hasHead }

  /** Offers the request to the first host, once hosts are known. */
  start (): void {
    this.hosts.prepare(this.steps.guard(() => { this.#offer() }))
  }

  /** Ends the request without calling the listener. The other host learns of it because the connection closes. */
  cancel (): void {
    if (this.#isDone) return
    this.#isDone = true
    this.#cancelSend()
  }

  #offer (): void {
    if (this.#isDone) return
    const now = performance.now()
    const relay = this.#tried.size < MAX_OFFERS ? this.hosts.acquire(this.#tried, now) : undefined
    if (relay === undefined) {
      this.#isDone = true
      this.listener.unavailable(this.#tried.size)
      return
    }
    this.#tried.add(relay.host)
    if (relay.connection.responses > 0) this.#send(relay)
    else this.#checkNew(relay)
  }

  /** Sends the request once the host has answered on the connection: a host with too many requests closes new connections unread, and a request that was sent by then may have run. */
  #checkNew (relay: RelayConnection): void {
    const { host, ticket, connection } = relay
    let isTaken = false
    let isSettled = false
    const settle = (next: () => void): void => {
      if (isSettled) return
      isSettled = true
      clearTimeout(timer)
      if (!this.#isDone) next()
    }
    const fail = this.steps.guard(() => {
      if (!isSettled) connection.close()
      settle(() => { this.#offerNext(host, false) })
    })
    // After a blocked event loop, an answer that has come is read before the check fails.
    const timer = setTimeout(() => { setImmediate(() => { setImmediate(fail) }) }, CHECK_TIMEOUT_MS)
    this.#cancelSend = connection.send(connectionCheck(ticket), guardResponse(this.steps, {
      sending: () => !this.#isDone,
      head: (_status, headers) => { isTaken = !isRelayRefused(headers) },
      data: () => true,
      complete: () => {
        // A host that is stopping closes the connection right after the response.
        setImmediate(this.steps.guard(() => {
          if (isTaken && connection.isUsable) settle(() => { this.#send(relay) })
          else fail()
        }))
      },
      failed: fail
    }))
  }

  #send (relay: RelayConnection): void {
    const { host, ticket, connection } = relay
    const statement = { ticket, ageMs: performance.now() - this.arrivedAt }
    const request = this.exchange.toEndpoint(headers => writeRelayHeaders(headers, statement), this.body)
    let wasSent = false
    let head: { readonly status: number, readonly isRefused: boolean } | undefined
    const fail = (error: Error): void => {
      connection.close()
      if (this.#isDone) return
      if (!wasSent || head?.isRefused === true) this.#offerNext(host, wasSent)
      else this.#lose(host, error.message)
    }
    this.#cancelSend = connection.send(request, guardResponse(this.steps, {
      sending: () => {
        wasSent = !this.#isDone && this.listener.sending(host)
        if (!wasSent) this.#isDone = true
        return wasSent
      },
      head: (status, headers, resume) => {
        if (this.#isDone) return
        head = { status, isRefused: isRelayRefused(headers) }
        if (head.isRefused) return
        this.#hasHead = true
        this.#resume = resume
        this.exchange.writeHead(status, withoutRelayHeaders(headers))
      },
      data: chunk => this.#isDone || head?.isRefused === true || this.#forward(chunk),
      complete: () => {
        relay.release()
        if (this.#isDone || head === undefined) return
        if (head.isRefused) {
          this.#offerNext(host, true)
          return
        }
        this.#isDone = true
        this.listener.complete(host, head.status)
        this.exchange.end()
      },
      failed: fail
    }))
  }

  #resume: () => void = () => {}

  #forward (chunk: Buffer): boolean {
    if (this.exchange.write(chunk)) return true
    this.exchange.onceDrained(() => { this.#resume() })
    return false
  }

  #offerNext (host: string, wasSent: boolean): void {
    this.hosts.avoid(host, performance.now())
    if (wasSent) this.listener.refused(host)
    this.#offer()
  }

  #lose (host: string, detail: string): void {
    this.#isDone = true
    this.hosts.avoid(host, performance.now())
    this.listener.lost(host, detail)
  }
}

function withoutRelayHeaders (headers: readonly string[]): string[] {
  return headers.flatMap((header, at) => at % 2 === 0 && header.toLowerCase() !== RELAY_REFUSED_HEADER ? [header, headers[at + 1] ?? ''] : [])
}
