/**
 * Endpoints that come back cold before many entry hosts, some of which stand still, start anew or know too few of
 * the others. Checks that all of them together send a cold endpoint no more in any second than it takes.
 */
import { ColdEndpointLimiter } from '@eelgrassmux/routing/endpoints/ColdEndpointLimiter'
import { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Ledger, PromiseName } from '../Ledger.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'

const HOSTS = [8, 24, 81]
const ENDPOINTS = 6
const EVENTS = 40_000
const DURATION_MS = 5000

/** What an endpoint takes while it is cold, in requests a second, and what ends it. */
const RATE = 18
const MOST_IN_A_SECOND = RATE * 1.5 + 5

const SECOND_MS = 1000

/** Longest way of a request to an endpoint, in milliseconds. */
const LONGEST_WAY_MS = 60

interface SimulatedHost {
  readonly name: string
  endpoints: EndpointState[]
  knownHosts: number
  frozenUntil: number
}

/** The world. */
export class ColdEndpointWorld implements World {
  readonly #hosts: SimulatedHost[]
  /** Times at which requests were sent and arrived, by endpoint. */
  readonly #arrivals: Array<Array<{ readonly sentAt: number, readonly at: number }>> = Array.from({ length: ENDPOINTS }, () => [])

  /**
   * @param simulation - schedule
   * @param ledger - checks
   * @param broken - promise whose mechanism is taken away
   */
  constructor (private readonly simulation: Simulation, private readonly ledger: Ledger, private readonly broken: PromiseName | undefined) {
    const count = simulation.oneOf(HOSTS)
    this.#hosts = Array.from({ length: count }, (_, index) => ({ name: `host-${index}`, endpoints: coldEndpoints(), knownHosts: count, frozenUntil: 0 }))
  }

  async run (): Promise<void> {
    for (const host of this.#hosts) this.#placeLoop(host, this.#allowanceOf(host))
    this.#faultLoop()
    await this.simulation.run({ events: EVENTS, until: DURATION_MS })
    for (const arrivals of this.#arrivals) this.#check(arrivals)
  }

  #allowanceOf (host: SimulatedHost): ColdEndpointLimiter {
    const knownHosts = (): number => this.broken === 'cold-endpoints-are-spared' ? 1 : host.knownHosts
    return new ColdEndpointLimiter(host.name, knownHosts)
  }

  /** Requests come faster than the endpoints take them, and each host would send all of them there. */
  #placeLoop (host: SimulatedHost, allowance: ColdEndpointLimiter): void {
    this.simulation.after(this.simulation.random() * 60, () => {
      this.#placeLoop(host, allowance)
      const now = this.simulation.now()
      if (now < host.frozenUntil) return
      const index = this.simulation.pick(ENDPOINTS)
      const endpoint = host.endpoints[index]
      if (endpoint === undefined || !allowance.admits(endpoint, RATE, now)) return
      endpoint.beginRequest(0, 0, now)
      this.simulation.after(this.simulation.random() * LONGEST_WAY_MS, () => {
        this.#arrivals[index]?.push({ sentAt: now, at: this.simulation.now() })
      })
    })
  }

  #faultLoop (): void {
    this.simulation.after(100 + this.simulation.random() * 300, () => {
      this.#faultLoop()
      const host = this.simulation.oneOf(this.#hosts)
      if (this.simulation.fault('freeze', 0.4)) host.frozenUntil = this.simulation.now() + this.simulation.random() * 1500
      if (!this.simulation.fault('kill', 0.4)) return
      // A host that has just started knows neither what it has sent nor all of the others.
      host.endpoints = coldEndpoints()
      host.knownHosts = Math.ceil(this.#hosts.length / 2)
    })
  }

  #check (arrivals: ReadonlyArray<{ readonly sentAt: number, readonly at: number }>): void {
    for (const { sentAt: from } of arrivals) {
      const count = arrivals.filter(({ sentAt, at }) => sentAt >= from && at <= from + SECOND_MS).length
      this.ledger.check('cold-endpoints-are-spared', count <= MOST_IN_A_SECOND, () => `a cold endpoint got ${count} requests in a second from ${this.#hosts.length} hosts`)
    }
  }
}

function coldEndpoints (): EndpointState[] {
  return Array.from({ length: ENDPOINTS }, (_, index) => new EndpointState(listed(`endpoint-${index}`)))
}

function listed (id: string): ListedEndpoint {
  return { id, service: 'engines', address: '10.0.0.1:80', dataCentre: 'north', slots: 48, isLeaving: false, isBusy: false, models: [], isCold: true }
}
