/** Decides whether one request goes to another host instead of an endpoint, and follows it there. */
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { DecisionFields } from '@eelgrassmux/telemetry/events/eventFields'
import type { FaultBoundary } from '../faults/RequestFaults.js'
import type { AttemptRecord } from '../routed/AttemptRecord.js'
import type { CallerExchange } from '../routed/CallerExchange.js'
import type { RoutedPorts, RoutedRequest } from '../routed/RoutedRequest.js'
import { RelayedRequest } from './RelayedRequest.js'

/** Why a request is relayed. */
export type RelayReason = 'out-of-reach' | 'endpoint-unreachable' | 'new-connections-fail'

/** Callbacks to the task of the request. `refuse`, `lost` or `complete` is the last call. */
export interface RequestRelayPorts {
  /** Whether the request has ended. */
  isDone (): boolean
  /** Ends everything by which the request waits for an endpoint. */
  leaveEndpoints (): void
  logRelayed (details: DecisionFields<'relayed'>): void
  logRefused (details: DecisionFields<'relay-refused'>): void
  /** The request did not run, and no host can serve it. */
  refuse (detail: string): void
  /** The response broke off, or never began; the request may have run. */
  lost (detail: string): void
  /** Called before the end of the response is written. */
  complete (host: string, status: number): void
}

/** Relays one request at most once, and only while it has certainly not run. */
export class RequestRelay {
  #relayed: RelayedRequest | undefined

  /**
   * @param request - request to serve
   * @param exchange - connection to the caller
   * @param ports - dependencies
   * @param attempts - attempts of the request, to which the relay is added
   * @param steps - boundary of the request's steps
   * @param task - callbacks to the task
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly exchange: CallerExchange,
    private readonly ports: Pick<RoutedPorts, 'fleet' | 'relays' | 'isLagging'>,
    private readonly attempts: AttemptRecord,
    private readonly steps: FaultBoundary,
    private readonly task: RequestRelayPorts
  ) {}

  /** Whether a response of another host has begun. */
  get isAnswering (): boolean { return this.#relayed?.isAnswering === true }

  /** Ends the relay without a further call. */
  cancel (): void {
    this.#relayed?.cancel()
  }

  /** @returns whether the endpoints are out of this host's reach, so that the request has been relayed or refused */
  takeIfOutOfReach (): boolean {
    if (this.#relayed !== undefined) return true
    const { service, isRelayed } = this.request
    const { fleet: { links } } = this.ports
    if (this.exchange.hasHead || links.admitsDirect(service.name, service.healthPath, this.ports.isLagging())) return false
    if (this.#tryTake('out-of-reach')) return true
    // While the links recover, requests that no other host may take are sent to the endpoints.
    if (!links.isCutOff(service.name) || this.attempts.mayHaveRun) return false
    this.task.refuse(isRelayed === true ? 'this host does not reach the endpoints either' : 'this host does not reach the endpoints')
    return true
  }

  /**
   * @param endpoint - endpoint that was chosen
   * @returns whether the request needs a new connection to it and new connections fail, so that it has been relayed or refused
   */
  takeIfNewConnectionsFail (endpoint: EndpointState): boolean {
    const { fleet } = this.ports
    if (fleet.links.admitsNewConnection(this.request.service.name) || fleet.connectionsTo(endpoint).hasIdle) return false
    return this.#tryTake('new-connections-fail') || this.returnIfUnreachable()
  }

  /** @returns whether the request, for which this host can't connect to an endpoint, has been relayed */
  takeIfUnreachable (): boolean {
    return this.#tryTake('endpoint-unreachable')
  }

  /**
   * Refuses a relayed request because this host can't connect to an endpoint either, although it has detected no partition.
   *
   * @returns whether it has been refused, so that the host that relayed it asks another one
   */
  returnIfUnreachable (): boolean {
    if (this.request.isRelayed !== true || this.attempts.mayHaveRun || this.exchange.hasHead) return false
    this.task.refuse('this host does not reach the endpoints either')
    return true
  }

  /**
   * Relays the request if that is allowed.
   *
   * @param reason - why this host does not send it to an endpoint
   * @returns whether it has been relayed
   */
  #tryTake (reason: RelayReason): boolean {
    const { relays, fleet: { links } } = this.ports
    const { service, body, arrivedAt, isRelayed } = this.request
    if (relays === undefined || isRelayed === true || this.#relayed !== undefined || this.task.isDone()) return false
    if (this.attempts.mayHaveRun || this.exchange.hasHead) return false
    // Without a cut, the endpoints may be at fault, and the other hosts would fail to reach them as well.
    if (!links.isCutOff(service.name) && !links.isHeardByAnyHost(service.name)) return false
    this.task.leaveEndpoints()
    this.#relayed = new RelayedRequest(this.exchange, body, arrivedAt, relays, {
      sending: host => {
        if (this.task.isDone() || this.attempts.mayHaveRun) return false
        this.attempts.recordSend()
        this.attempts.recordRun()
        this.task.logRelayed({ host, reason })
        return true
      },
      refused: host => {
        this.attempts.retractRun()
        this.task.logRefused({ host })
      },
      unavailable: asked => { this.task.refuse(`this host does not reach the endpoints, and none of ${asked} other hosts has taken the request`) },
      lost: (host, detail) => { this.task.lost(`host ${host}: ${detail}`) },
      complete: (host, status) => { this.task.complete(host, status) }
    }, this.steps)
    this.#relayed.start()
    return true
  }
}
