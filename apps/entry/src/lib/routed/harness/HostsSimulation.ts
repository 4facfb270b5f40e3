/**
 * Simulation of several hosts that share endpoints, on a virtual clock and without a network, for tests.
 *
 * Hosts exchange their load as in production, as encoded load reports to the host that computes the totals.
 */
import { vi } from 'vitest'
import { LoadAggregator, type AggregatedLoad } from '@eelgrassmux/routing/load/LoadAggregator'
import { decodeLoadReport, decodeLoadTotals, encodeLoadReport, encodeLoadTotals, frameLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { LoadTotals } from '@eelgrassmux/routing/load/loadReport'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { ResponseHead } from '../RoutedAttempt.js'
import type { ResponseFields } from '../RequestCodec.js'
import { learnFromFailure } from '../learnFromFailure.js'
import { RoutedFleet } from '../RoutedFleet.js'

/** Step of the virtual clock, in milliseconds. */
const STEP_MS = 5

/** Time from a send to the head and to the end of the response, in milliseconds. */
const RESPONSE_HEAD_MS = 60
const RESPONSE_END_MS = 150

/** Age from which a host requests the load of the other hosts again before it places a request, in milliseconds. */
const LOAD_EXCHANGE_INTERVAL_MS = 25

const SERVICE = 'pool'

/** How an endpoint responds; by default it accepts all requests and states no limit. */
export interface ResponseBehaviour extends Partial<Pick<ResponseFields, 'requestsPerSecond'>> {
  /** If set, the endpoint rejects all requests and asks the host for a pause of this length, in milliseconds; 0 if it asks for no pause. */
  readonly rejectionPauseMs?: number
}

/** Options of a simulation. */
export interface SimulationOptions {
  readonly hosts: number
  readonly endpoints: number
  /** Requests that each host receives per second. */
  readonly requestsPerSecond: number
  readonly seed: number
}

interface Host {
  readonly name: string
  readonly fleet: RoutedFleet
  loadExchangedAt: number
  sequence: number
}

/** A request that arrived at an endpoint. */
export interface Arrival {
  readonly host: string
  readonly at: number
}

interface PendingResponse {
  readonly host: Host
  readonly endpoint: EndpointState
  readonly sentAt: number
  hasHead: boolean
  hasEnded: boolean
}

/** Simulated hosts, endpoints, and the requests between them. */
export class HostsSimulation {
  readonly #hosts: readonly Host[]
  readonly #board = new LoadAggregator()
  readonly #arrivals = new Map<string, Arrival[]>()
  readonly #responseBehaviours = new Map<string, ResponseBehaviour>()
  readonly #requestsPerSecond: number
  #pending: PendingResponse[] = []
  #readTotals: { readonly totals: AggregatedLoad, readonly read: LoadTotals } | undefined
  /** Requests for which no endpoint was available. */
  unplaced = 0
  /** Requests that an endpoint rejected. */
  rejected = 0

  /**
   * Replaces the clock and the random numbers of this process until {@link HostsSimulation.close} is called.
   *
   * @param options - size, load and random seed of the simulation
   */
  constructor ({ hosts, endpoints, requestsPerSecond, seed }: SimulationOptions) {
    vi.useFakeTimers({ toFake: ['performance'] })
    vi.spyOn(Math, 'random').mockImplementation(seededRandom(seed))
    this.#requestsPerSecond = requestsPerSecond
    const listed = Array.from({ length: endpoints }, (_, number) => listedEndpoint(number))
    this.#hosts = Array.from({ length: hosts }, (_, number) => {
      const name = `10.0.${number >> 8}.${number & 255}:80`
      const fleet = new RoutedFleet('north', () => hosts, new Telemetry('test'), undefined, name)
      fleet.update(listed)
      return { name, fleet, loadExchangedAt: Number.NEGATIVE_INFINITY, sequence: 0 }
    })
  }

  /** Restores the clock and the random numbers. */
  close (): void {
    vi.useRealTimers()
    vi.restoreAllMocks()
  }

  /**
   * @param endpoint - index of an endpoint
   * @param behaviour - how it responds from now on
   */
  setBehaviour (endpoint: number, behaviour: ResponseBehaviour): void {
    this.#responseBehaviours.set(listedEndpoint(endpoint).id, behaviour)
  }

  /** @param milliseconds - time on the virtual clock during which requests arrive */
  run (milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
      vi.advanceTimersByTime(STEP_MS)
      this.#respond(performance.now())
      for (const host of this.#hosts) {
        if (Math.random() < this.#requestsPerSecond * STEP_MS / 1000) this.#place(host, performance.now())
      }
    }
  }

  /**
   * @param endpoint - index of an endpoint
   * @param since - start of the period, in monotonic milliseconds
   * @returns requests that arrived at the endpoint since then
   */
  arrivals (endpoint: number, since = 0): readonly Arrival[] {
    return this.#arrivalsOf(listedEndpoint(endpoint).id).filter(({ at }) => at >= since)
  }

  #place (host: Host, now: number): void {
    this.#exchangeLoad(host, now)
    const choice = host.fleet.choose(SERVICE, { excluded: new Set() })
    if (typeof choice === 'string') {
      this.unplaced += 1
      return
    }
    const { endpoint } = choice
    endpoint.beginRequest(0, 0, now)
    this.#arrivalsOf(endpoint.id).push({ host: host.name, at: now })
    this.#pending.push({ host, endpoint, sentAt: now, hasHead: false, hasEnded: false })
  }

  #arrivalsOf (endpoint: string): Arrival[] {
    const present = this.#arrivals.get(endpoint) ?? []
    this.#arrivals.set(endpoint, present)
    return present
  }

  #respond (now: number): void {
    for (const pending of this.#pending) {
      if (!pending.hasHead && now >= pending.sentAt + RESPONSE_HEAD_MS) this.#respondHead(pending, now)
      if (!pending.hasEnded && now >= pending.sentAt + RESPONSE_END_MS) this.#end(pending)
    }
    this.#pending = this.#pending.filter(({ hasEnded }) => !hasEnded)
  }

  #respondHead (pending: PendingResponse, now: number): void {
    const { host, endpoint } = pending
    const head = headOf(this.#responseBehaviours.get(endpoint.id) ?? {})
    pending.hasHead = true
    endpoint.observeBytes(now)
    host.fleet.limits.observeAnswer(endpoint, head, now)
    if (!head.fields.isNotExecuted) return
    learnFromFailure(host.fleet, endpoint, 'rejected', head)
    endpoint.endRequest(0)
    pending.hasEnded = true
    this.rejected += 1
  }

  #end (pending: PendingResponse): void {
    pending.endpoint.endRequest(0)
    pending.host.fleet.recordOutcome(pending.endpoint, 'success')
    pending.hasEnded = true
  }

  #exchangeLoad (host: Host, now: number): void {
    if (now - host.loadExchangedAt < LOAD_EXCHANGE_INTERVAL_MS) return
    host.loadExchangedAt = now
    host.sequence += 1
    const own = host.fleet.ownWork()
    host.fleet.otherHostsLoad.recordOwnReport(host.sequence, own, now)
    this.#board.observe(decodeLoadReport(encodeLoadReport({ host: host.name, sequence: host.sequence, ...own })), now)
    const totals = this.#board.totals(now)
    const sequence = totals.sequences.get(host.name)
    if (sequence === undefined) return
    // The totals are decoded once for all hosts; only the sequence differs.
    if (this.#readTotals?.totals !== totals) this.#readTotals = { totals, read: decodeLoadTotals(frameLoadTotals(0, encodeLoadTotals(totals))) }
    host.fleet.otherHostsLoad.recordTotals({ ...this.#readTotals.read, sequence }, now)
    host.fleet.applyObservations()
  }
}

function listedEndpoint (number: number): ListedEndpoint {
  return { id: `e-${number}`, service: SERVICE, address: `10.1.0.${number}:80`, dataCentre: 'north', slots: 48, isLeaving: false, isBusy: false, models: [] }
}

function headOf ({ requestsPerSecond, rejectionPauseMs: rejectsForMs }: ResponseBehaviour): ResponseHead {
  const isNotExecuted = rejectsForMs !== undefined
  return {
    status: isNotExecuted ? 503 : 200,
    headers: [],
    fields: { requestId: undefined, isNotExecuted, instance: undefined, load: undefined, version: undefined, requestsPerSecond, isLeaving: false, retryAfterMs: rejectsForMs === 0 ? undefined : rejectsForMs }
  }
}

/** Returns a linear congruential generator of numbers in [0, 1). */
function seededRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}
