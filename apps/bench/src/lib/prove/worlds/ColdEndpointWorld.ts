/**
 * Many entry hosts send requests to endpoints that have just restarted with cold caches. Some hosts freeze, restart
 * or know only some of the other hosts. Checks that all hosts together send a cold endpoint no more requests in any
 * second than it can take.
 */
import { ColdEndpointLimiter } from '@eelgrassmux/routing/endpoints/ColdEndpointLimiter'
import { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'

const HOST_COUNTS = [8, 24, 81]
const ENDPOINTS = 6
const MAX_EVENTS = 40_000
const DURATION_MS = 5000

/** Requests per second that a cold endpoint takes, and the most requests in one second that it survives. */
const COLD_REQUESTS_PER_SECOND = 18
const MAX_REQUESTS_IN_A_SECOND = COLD_REQUESTS_PER_SECOND * 1.5 + 5

const SECOND_MS = 1000

/** Maximum network latency of a request, in milliseconds. */
const MAX_LATENCY_MS = 60

interface SimulatedHost {
  readonly name: string
  endpoints: EndpointState[]
  knownHosts: number
  frozenUntil: number
}

/** Checks the rate limit of cold endpoints. */
export class ColdEndpointWorld implements World {
  readonly #hosts: SimulatedHost[]
  /** Send and arrival times of the requests to each endpoint. */
  readonly #arrivals: Array<Array<{ readonly sentAt: number, readonly at: number }>> = Array.from({ length: ENDPOINTS }, () => [])

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   */
  constructor (private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined) {
    const count = simulation.pickFrom(HOST_COUNTS)
    this.#hosts = Array.from({ length: count }, (_, index) => ({ name: `host-${index}`, endpoints: createColdEndpoints(), knownHosts: count, frozenUntil: 0 }))
  }

  async run (): Promise<void> {
    for (const host of this.#hosts) this.#dispatchLoop(host, this.#createLimiter(host))
    this.#faultLoop()
    await this.simulation.run({ events: MAX_EVENTS, until: DURATION_MS })
    for (const arrivals of this.#arrivals) this.#check(arrivals)
  }

  #createLimiter (host: SimulatedHost): ColdEndpointLimiter {
    const knownHosts = (): number => this.broken === 'cold-endpoints-are-spared' ? 1 : host.knownHosts
    return new ColdEndpointLimiter(host.name, knownHosts)
  }

  /** Requests arrive faster than the cold endpoints can take them, and each host tries to send all of its requests. */
  #dispatchLoop (host: SimulatedHost, limiter: ColdEndpointLimiter): void {
    this.simulation.schedule(this.simulation.random() * 60, () => {
      this.#dispatchLoop(host, limiter)
      const now = this.simulation.now()
      if (now < host.frozenUntil) return
      const index = this.simulation.pick(ENDPOINTS)
      const endpoint = host.endpoints[index]
      if (endpoint === undefined || !limiter.admits(endpoint, COLD_REQUESTS_PER_SECOND, now)) return
      endpoint.beginRequest(0, 0, now)
      this.simulation.schedule(this.simulation.random() * MAX_LATENCY_MS, () => {
        this.#arrivals[index]?.push({ sentAt: now, at: this.simulation.now() })
      })
    })
  }

  #faultLoop (): void {
    this.simulation.schedule(100 + this.simulation.random() * 300, () => {
      this.#faultLoop()
      const host = this.simulation.pickFrom(this.#hosts)
      if (this.simulation.drawFault('freeze', 0.4)) host.frozenUntil = this.simulation.now() + this.simulation.random() * 1500
      if (!this.simulation.drawFault('kill', 0.4)) return
      // A restarted host remembers none of its earlier requests and knows only half of the hosts.
      host.endpoints = createColdEndpoints()
      host.knownHosts = Math.ceil(this.#hosts.length / 2)
    })
  }

  #check (arrivals: ReadonlyArray<{ readonly sentAt: number, readonly at: number }>): void {
    for (const { sentAt: from } of arrivals) {
      const count = arrivals.filter(({ sentAt, at }) => sentAt >= from && at <= from + SECOND_MS).length
      this.recorder.check('cold-endpoints-are-spared', count <= MAX_REQUESTS_IN_A_SECOND, () => `a cold endpoint got ${count} requests in a second from ${this.#hosts.length} hosts`)
    }
  }
}

function createColdEndpoints (): EndpointState[] {
  return Array.from({ length: ENDPOINTS }, (_, index) => new EndpointState(listedEndpoint(`endpoint-${index}`)))
}

function listedEndpoint (id: string): ListedEndpoint {
  return { id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'north', slots: 48, isLeaving: false, isBusy: false, models: [], isCold: true }
}
