/** Requests for the health of endpoints, which show whether this host reaches them. */
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { RoutedFleet } from '../routed/RoutedFleet.js'

/** Time after which a probe is given up, in milliseconds. */
const PROBE_TIMEOUT_MS = 1000

/** Time after which a probe without an answer is no evidence any more, in milliseconds. */
const EVIDENCE_LIFETIME_MS = 3000

/** Receives the outcome of a probe. */
export interface LinkProbeListener {
  answered (endpoint: EndpointState): void
  /** The connection failed or broke, or no answer came in time. */
  lost (endpoint: EndpointState): void
}

/** Sends probes, each over a new connection. */
export class LinkProbes {
  readonly #sentAt = new Map<string, number>()

  /**
   * @param fleet - connections to the endpoints
   * @param listener - receives the outcomes
   */
  constructor (private readonly fleet: Pick<RoutedFleet, 'connectionsTo' | 'connectionLimit'>, private readonly listener: LinkProbeListener) {}

  /**
   * @param endpoint - endpoint to probe
   * @param healthPath - path at which it answers, with any status
   */
  send (endpoint: EndpointState, healthPath: string): void {
    const connections = this.fleet.connectionsTo(endpoint)
    if (connections.count >= this.fleet.connectionLimit(0)) return
    const { incarnation } = endpoint
    const connection = connections.open()
    let isOverdue = false
    const timer = setTimeout(() => {
      isOverdue = true
      connection.close()
    }, PROBE_TIMEOUT_MS)
    this.#sentAt.set(incarnation, performance.now())
    connection.send({ method: 'GET', target: healthPath, headers: ['host', endpoint.listed.address], body: undefined }, {
      sending: () => true,
      head: () => {
        this.#sentAt.delete(incarnation)
        this.listener.answered(endpoint)
      },
      data: () => true,
      complete: () => {
        clearTimeout(timer)
        connections.release(connection)
      },
      failed: () => {
        if (!isOverdue) this.#sentAt.delete(incarnation)
        this.listener.lost(endpoint)
        clearTimeout(timer)
        connection.close()
      }
    })
  }

  /**
   * @param endpoint - endpoint that may have been probed
   * @param now - monotonic milliseconds
   * @returns milliseconds since a probe was sent that has not been answered; 0 if there is none, or it was sent long ago
   */
  unansweredMs ({ incarnation }: EndpointState, now: number): number {
    const sentAt = this.#sentAt.get(incarnation)
    return sentAt === undefined || now - sentAt > EVIDENCE_LIFETIME_MS ? 0 : now - sentAt
  }
}
