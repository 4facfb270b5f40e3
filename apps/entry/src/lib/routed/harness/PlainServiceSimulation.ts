/**
 * Simulation of entry hosts in front of a plain service, on a virtual clock and without a network, for tests.
 *
 * Requests are handled by the production code from their placement to their answer. Only the caller's connection, the
 * endpoints, the datagrams and the leader's timers are simulated.
 */
import { vi } from 'vitest'
import { WorkGate } from '@eelgrassmux/daemon/WorkGate'
import { RouteDurations } from '@eelgrassmux/routing/admission/RouteDurations'
import { SwitchedRetryTokens } from '../../retries/RetryTokens.js'
import { incarnationName } from '@eelgrassmux/routing/endpoints/incarnationName'
import { ResponseAttribution } from '@eelgrassmux/routing/attempts/ResponseAttribution'
import { LoadFeatures } from '@eelgrassmux/routing/features/LoadFeatures'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import type { Refusal } from '@eelgrassmux/schema/Refusal'
import type { Route, Site } from '@eelgrassmux/schema/site/siteSchema'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { RequestFaults } from '../../faults/RequestFaults.js'
import { GracefulShutdown } from '../../GracefulShutdown.js'
import { LoadExchange } from '../../load/LoadExchange.js'
import { WaitingExchange } from '../../waiting/WaitingExchange.js'
import type { CallerExchange } from '../CallerExchange.js'
import type { EndpointConnection, ResponseHandler } from '../EndpointConnection.js'
import type { EndpointConnections } from '../EndpointConnections.js'
import { RoutedFleet } from '../RoutedFleet.js'
import { ResponseMemory, responseMemoryBounds } from '../ResponseMemory.js'
import type { RoutedPorts, RoutedRequest } from '../RoutedRequest.js'
import { RoutedRequestTask } from '../RoutedRequestTask.js'
import { SharedInterval } from '../SharedInterval.js'
import { SILENCE_CHECK_INTERVAL_MS } from '../SilenceFailover.js'
import { emptyQuarantine } from './emptyQuarantine.js'
import { PLAIN_HEADERS, PlainCodec } from './PlainCodec.js'
import { SimulatedLeader } from './SimulatedLeader.js'
import { TEST_SITE, testRoute } from './testSite.js'

/** One-way latency to an endpoint, in milliseconds. */
const LATENCY_MS = 0.7

/** Calls that arrive at the same moment. */
const CLUMP = 3

/** Period of the demand wave, in milliseconds. */
const WAVE_PERIOD_MS = 13_000

/** Interval between the starts of bursts, and their length, in milliseconds. */
const BURST_INTERVAL_MS = 6000
const BURST_LENGTH_MS = 3000

/** Time in which the hosts exchange their load before calls arrive, in milliseconds. */
const WARM_UP_MS = 500

/** The service and its callers. */
export interface PlainServiceOptions {
  readonly hosts: number
  readonly endpoints: number
  /** Calls that an endpoint works on at once, and that wait there besides. */
  readonly slots: number
  readonly backlog: number
  /** Mean work of a call, in milliseconds. */
  readonly workMs: number
  readonly callsPerSecond: number
  /** Share by which the rate swings. */
  readonly swing: number
  /** Factor of the rate in bursts. */
  readonly burst: number
  readonly hasWaitingOrder: boolean
  /** Whether bytes in transit to endpoints are bounded; they are not by default. */
  readonly hasSlowReaders?: boolean
  readonly seed: number
}

/** A call and what its caller received. */
export interface SimulatedCall {
  readonly arrivedAt: number
  endedAt: number | undefined
  /** Status of the answer; undefined while there is none. */
  status: number | undefined
  retryAfterSeconds: number | undefined
  /** Disconnects the caller. */
  leave (): void
}

interface Host {
  readonly name: string
  readonly fleet: RoutedFleet
  readonly waiting: WaitingExchange
  readonly ports: RoutedPorts
}

/** An endpoint that works on a few calls at once, and rejects calls beyond its backlog. */
class SimulatedEndpoint {
  readonly #waiting: Array<() => void> = []
  #running = 0
  arrivals = 0
  rejections = 0
  /** Work of each call, in milliseconds; random around the mean if undefined. */
  fixedWorkMs: number | undefined
  /** Time between head and end of an answer, in milliseconds. */
  bodyMs = 0
  /** Whether it rejects all calls. */
  isClosed = false

  constructor (private readonly options: PlainServiceOptions) {}

  receive (handler: ResponseHandler, isCancelled: () => boolean): void {
    this.arrivals += 1
    const { slots, backlog } = this.options
    if (this.isClosed || this.#running + this.#waiting.length >= slots + backlog) {
      this.rejections += 1
      answer(handler, isCancelled, 503, [PLAIN_HEADERS.notRun, '1'], 0)
      return
    }
    const start = (): void => {
      if (isCancelled()) {
        this.#next()
        return
      }
      this.#running += 1
      setTimeout(() => {
        this.#running -= 1
        answer(handler, isCancelled, 200, [], this.bodyMs)
        this.#next()
      }, this.fixedWorkMs ?? this.options.workMs * (0.5 + Math.random()))
    }
    if (this.#running < slots) start()
    else this.#waiting.push(start)
  }

  #next (): void {
    this.#waiting.shift()?.()
  }
}

function answer (handler: ResponseHandler, isCancelled: () => boolean, status: number, headers: string[], bodyMs: number): void {
  setTimeout(() => {
    if (isCancelled()) return
    handler.head(status, headers, () => {})
    handler.data(Buffer.from('x'))
    if (bodyMs === 0) handler.complete()
    else setTimeout(() => { if (!isCancelled()) handler.complete() }, bodyMs)
  }, LATENCY_MS)
}

/** Hosts, endpoints, a leader, and the calls between them. */
export class PlainServiceSimulation {
  readonly endpoints: readonly SimulatedEndpoint[]
  readonly leader: SimulatedLeader
  readonly calls: SimulatedCall[] = []
  readonly #hosts: readonly Host[]
  readonly #listed: readonly ListedEndpoint[]
  readonly #site: Site
  readonly #route: Route = testRoute('/call/', { kind: 'unsafe', attempts: 1, timeoutMs: 2000, targetLatencyMs: 332 })
  readonly #options: PlainServiceOptions
  /** Random numbers of the arrivals, so that they are the same whatever the hosts do. */
  readonly #random: () => number

  /**
   * Replaces the clock and the random numbers of this process until {@link PlainServiceSimulation.close} is called.
   *
   * @param options - size, load and random seed
   */
  constructor (options: PlainServiceOptions) {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'performance'] })
    vi.spyOn(Math, 'random').mockImplementation(seededRandom(options.seed))
    this.#options = options
    this.#random = seededRandom(options.seed)
    this.#site = { ...TEST_SITE, routes: [this.#route] }
    this.endpoints = Array.from({ length: options.endpoints }, () => new SimulatedEndpoint(options))
    this.#listed = this.endpoints.map((_, number) => ({ id: `e-${number}`, service: 'app', address: `10.1.0.${number}:80`, dataCentre: 'n', slots: options.slots, isLeaving: false, isBusy: false, models: [] }))
    this.leader = new SimulatedLeader(this.#listed.map(listed => ({ incarnation: incarnationName(listed), service: 'app', slots: options.slots, memoryTokens: undefined, objectiveMs: this.#route.targetLatencyMs })))
    this.#hosts = Array.from({ length: options.hosts }, (_, number) => this.#createHost(`10.0.0.${number}:80`))
    vi.advanceTimersByTime(WARM_UP_MS)
  }

  /** Restores the clock and the random numbers. */
  close (): void {
    for (const { waiting } of this.#hosts) waiting.stop()
    vi.useRealTimers()
    vi.restoreAllMocks()
  }

  /** @param milliseconds - time on the virtual clock during which calls arrive */
  run (milliseconds: number): void {
    const { callsPerSecond, swing, burst } = this.#options
    for (let passed = 0; passed < milliseconds; passed += 1) {
      vi.advanceTimersByTime(1)
      const factor = performance.now() % BURST_INTERVAL_MS < BURST_LENGTH_MS ? burst : 1
      const rate = callsPerSecond * factor * (1 + swing * Math.sin(performance.now() / WAVE_PERIOD_MS * 2 * Math.PI))
      if (this.#random() >= rate / CLUMP / 1000) continue
      for (let call = 0; call < CLUMP; call += 1) this.call(Math.floor(this.#random() * this.#hosts.length))
    }
  }

  /** @param milliseconds - time on the virtual clock during which no calls arrive */
  idle (milliseconds: number): void {
    vi.advanceTimersByTime(milliseconds)
  }

  /**
   * @param host - number of a host
   * @param body - body of the call
   * @returns a call that arrives there now
   */
  call (host: number, body?: Buffer): SimulatedCall {
    const arrivedAt = performance.now()
    let onLeft: () => void = () => {}
    const call: SimulatedCall = { arrivedAt, endedAt: undefined, status: undefined, retryAfterSeconds: undefined, leave: () => { onLeft() } }
    const end = (status: number, retryAfterSeconds?: number): void => { Object.assign(call, { status, retryAfterSeconds, endedAt: performance.now() }) }
    const exchange = {
      request: { method: 'POST', url: '/call/a', rawHeaders: [] },
      hasHead: false,
      hasEnded: false,
      toEndpoint: () => ({ method: 'POST', target: '/call/a', headers: [], body }),
      onCallerLeft: (listener: () => void) => { onLeft = listener },
      sendWhole: (status: number) => { end(status) },
      refuse: ({ status, retryAfterSeconds }: Refusal) => { end(status, retryAfterSeconds) },
      abort: () => { end(0) }
    }
    const { ports } = this.#host(host)
    const [service] = this.#site.services
    const request: RoutedRequest = {
      id: `r${this.calls.length}`, route: this.#route, service: service as RoutedRequest['service'], customer: undefined, fields: new PlainCodec().readRequestHeaders([]), body, arrivedAt, siteVersion: 1
    }
    ports.allowance.recordRequest(this.#hosts.length)
    this.calls.push(call)
    new RoutedRequestTask(request, exchange as unknown as CallerExchange, ports).start()
    return call
  }

  /**
   * @param host - number of a host
   * @returns its queue
   */
  waitingAt (host: number): WaitingExchange {
    return this.#host(host).waiting
  }

  /**
   * @param host - number of a host
   * @returns its endpoints
   */
  fleetOf (host: number): RoutedFleet {
    return this.#host(host).fleet
  }

  /** @returns name of a host */
  nameOf (host: number): string {
    return this.#host(host).name
  }

  /** Figures of all calls and arrivals so far. */
  get figures (): { readonly calls: number, readonly served: number, readonly refused: number, readonly arrivals: number, readonly rejections: number, readonly inTime: number } {
    const served = this.calls.filter(({ status }) => status === 200)
    return {
      calls: this.calls.length,
      served: served.length,
      refused: this.calls.filter(({ status }) => status === 503).length,
      inTime: served.filter(({ arrivedAt, endedAt = Number.POSITIVE_INFINITY }) => endedAt - arrivedAt <= this.#route.targetLatencyMs).length,
      arrivals: this.endpoints.reduce((sum, { arrivals }) => sum + arrivals, 0),
      rejections: this.endpoints.reduce((sum, { rejections }) => sum + rejections, 0)
    }
  }

  #host (number: number): Host {
    const host = this.#hosts[number]
    if (host === undefined) throw new RangeError(`no host ${number}`)
    return host
  }

  #createHost (name: string): Host {
    const { hosts, hasWaitingOrder, hasSlowReaders = false } = this.#options
    const telemetry = new Telemetry('test')
    const features = new LoadFeatures([...(hasWaitingOrder ? ['waiting-order'] as const : []), ...(hasSlowReaders ? ['slow-readers'] as const : [])])
    const fleet = new RoutedFleet('n', () => hosts, telemetry, undefined, name, features)
    const datagrams = this.leader.datagramsOf(name)
    const loads = new LoadExchange(name, {
      datagrams, aggregatorAddress: () => 'leader', liveHosts: () => hosts, ownWork: () => fleet.ownWork(), others: fleet.otherHostsLoad, onAnswer: () => { fleet.applyObservations() }
    }, telemetry)
    const withRecentLoad = (place: () => void): void => { loads.beforePlacing(place) }
    const waiting = new WaitingExchange(name, { datagrams, features, leader: () => 'leader', withRecentLoad }, telemetry)
    fleet.onWorkChange((change, service) => {
      if (change === 'sent') loads.noteSend()
      else loads.noteChange(hasWaitingOrder && waiting.isContended(service))
    })
    fleet.update(this.#listed)
    fleet.configure(this.#site)
    vi.spyOn(fleet, 'connectionsTo').mockImplementation(endpoint => this.#connectionsTo(Number(endpoint.id.slice(2))))
    loads.start()
    const counter = { count: () => {} }
    const ports: RoutedPorts = {
      fleet,
      codec: new PlainCodec(),
      telemetry,
      faults: new RequestFaults(telemetry),
      responseMemory: new ResponseMemory(responseMemoryBounds(0), telemetry),
      waiting,
      stop: new GracefulShutdown(new WorkGate(), { balancerLagMs: 0, graceMs: 60_000 }, telemetry),
      quarantine: emptyQuarantine(),
      allowance: new SwitchedRetryTokens({ ratio: 0.2, slack: 180 }),
      durations: new RouteDurations(),
      retries: counter,
      refusals: counter,
      responseEnds: counter,
      resumptions: counter,
      firstEvent: () => {},
      isLagging: () => false,
      silenceChecks: new SharedInterval(SILENCE_CHECK_INTERVAL_MS),
      desiredVersion: () => 1,
      remainingMsForVersion: () => Number.POSITIVE_INFINITY,
      areStoresUsable: () => false,
      storeClockMs: () => undefined,
      withRecentLoad
    }
    return { name, fleet, waiting, ports }
  }

  /** Returns connections on which the calls reach a simulated endpoint. */
  #connectionsTo (number: number): EndpointConnections {
    const endpoint = this.endpoints[number]
    const connection = {
      attribution: new ResponseAttribution(),
      close: () => {},
      send: (_request: unknown, handler: ResponseHandler) => {
        let isCancelled = false
        handler.sending()
        setTimeout(() => { endpoint?.receive(handler, () => isCancelled) }, LATENCY_MS)
        return () => { isCancelled = true }
      }
    }
    const healthConnection = {
      close: () => {},
      send: (_request: unknown, handler: ResponseHandler) => {
        setTimeout(() => {
          handler.head(200, [], () => {})
          handler.complete()
        }, LATENCY_MS)
      }
    }
    return { count: 0, hasIdle: true, acquire: () => connection as unknown as EndpointConnection, open: () => healthConnection as unknown as EndpointConnection, release: () => {} } as unknown as EndpointConnections
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
