/** Sends a routed request to the endpoints chosen for it. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { CallerExchange } from './CallerExchange.js'
import type { EndpointConnection } from './EndpointConnection.js'
import type { EndpointConnections } from './EndpointConnections.js'
import { endpointFields, type SendState } from './endpointFields.js'
import type { PromptContext } from './PromptContext.js'
import { RoutedAttempt, type AttemptListener } from './RoutedAttempt.js'
import type { RoutedPorts, RoutedRequest } from './RoutedRequest.js'

/** Opens and sends the attempts of one request. */
export class AttemptSender {
  /**
   * @param request - request to send
   * @param exchange - connection to the caller
   * @param ports - dependencies
   * @param prompt - prompt of the request, if it has one
   * @param listener - receives the responses
   */
  constructor (
    private readonly request: RoutedRequest,
    private readonly exchange: CallerExchange,
    private readonly ports: Pick<RoutedPorts, 'fleet' | 'codec' | 'faults'>,
    private readonly prompt: PromptContext | undefined,
    private readonly listener: AttemptListener
  ) {}

  /**
   * @param choice - endpoint that was chosen
   * @param usedSince - monotonic milliseconds since which a kept connection must have been used
   * @returns an attempt with a connection of its own, not sent yet; undefined if all connections are in use or none can be made
   */
  open (choice: EndpointChoice, usedSince?: number): RoutedAttempt | undefined {
    const { fleet, codec } = this.ports
    const connections = fleet.connectionsTo(choice.endpoint)
    const connection = this.#connect(choice, connections, usedSince)
    return connection === undefined ? undefined : new RoutedAttempt(choice, this.request.id, connections, connection, fleet, codec, this.listener)
  }

  /** An endpoint that no connection can be made to counts as unreachable, and the request goes to another one. */
  #connect ({ endpoint }: EndpointChoice, connections: EndpointConnections, usedSince: number | undefined): EndpointConnection | undefined {
    const { fleet, faults } = this.ports
    try {
      return connections.acquire(fleet.connectionLimit(this.request.service.connectionsPerEndpoint), this.request.id, usedSince)
    } catch (error) {
      faults.contain(this.request.id, error)
      fleet.recordOutcome(endpoint, 'unreachable')
      return undefined
    }
  }

  /**
   * @param attempt - attempt from {@link AttemptSender.open}
   * @param state - progress of the request
   */
  send (attempt: RoutedAttempt, state: Omit<SendState, 'prompt'>): void {
    const now = performance.now()
    const { fleet, codec } = this.ports
    fleet.limits.countSend(attempt.choice.endpoint, now)
    fleet.traffic.countRequest(attempt.choice, this.request.body?.length ?? 0)
    const fields = endpointFields(this.request, attempt.choice, fleet, { ...state, prompt: this.prompt }, now)
    if (this.request.route.kind === 'stream') attempt.beginStream(this.request.route.longestPauseMs)
    attempt.send(this.exchange.toEndpoint(headers => codec.writeRequestHeaders(headers, fields), this.request.body), this.prompt?.remainingMsOn(attempt.choice.version))
    this.prompt?.recordSend(attempt.choice)
  }
}
