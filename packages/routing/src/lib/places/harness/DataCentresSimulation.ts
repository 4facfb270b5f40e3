/**
 * Simulation of entry hosts and engines in several data centres, on a virtual clock and without a network, for tests.
 *
 * The demand of each data centre swings by half in turns, so that at times one has more than its engines can do while
 * another has room. Hosts exchange their load through an aggregator, as in production.
 */
import { chooseEndpoint } from '../../endpoints/chooseEndpoint.js'
import type { EndpointQuery, PromptQuery } from '../../endpoints/endpointQuery.js'
import { EndpointState } from '../../endpoints/EndpointState.js'
import { EngineModel } from '../../endpoints/EngineModel.js'
import { LoadAggregator } from '../../load/LoadAggregator.js'
import { PeerLoad } from '../../load/PeerLoad.js'
import { PromptResidencyTracker } from '../../prompts/PromptResidencyTracker.js'
import { mix32 } from '../../prompts/homeEndpoint.js'
import { StoreLinks } from '../../stores/StoreLinks.js'
import { DataCentreDistances } from '../DataCentreDistances.js'

/** A kind of stream: prompt and answer in tokens, body in bytes, latency objective in milliseconds, share of all streams. */
interface StreamKind {
  readonly promptTokens: number
  readonly outputTokens: number
  readonly bytes: number
  readonly objectiveMs: number
  readonly share: number
}

/** Streams of the first deployment for hard load; their prompts share nothing, so that only load decides where they go. */
const STREAM_KINDS: readonly StreamKind[] = [
  { promptTokens: 11_992, outputTokens: 38, bytes: 12_000, objectiveMs: 1519, share: 0.27 },
  { promptTokens: 827, outputTokens: 29, bytes: 830, objectiveMs: 508, share: 0.38 },
  { promptTokens: 2368, outputTokens: 2, bytes: 2370, objectiveMs: 510, share: 0.35 }
]

const MODEL = 'm'
const STEP_MS = 1
const EXCHANGE_INTERVAL_MS = 25

/** Engines of the first deployment: prompt tokens prefilled in a millisecond, milliseconds of a decode step. */
const TOKENS_PER_MS = 55
const DECODE_STEP_MS = 2.89

/** Bytes of an event, and tokens in it. */
const EVENT_BYTES = 80
const EVENT_TOKENS = 10

/** Period of the demand in milliseconds; each half of it has more and less than the mean by {@link SWING}. */
const PERIOD_MS = 11_000
const SWING = 0.5

/** Options of a simulation. */
export interface DataCentresOptions {
  readonly dataCentres: readonly string[]
  readonly hostsEach: number
  readonly enginesEach: number
  /** Requests a second in a data centre, on the mean. */
  readonly requestsPerSecond: number
  readonly roundTripMs: number
  readonly seed: number
  /** Whether hosts know distances and charge for bytes between data centres. */
  readonly hasDistances: boolean
}

interface SimulatedHost {
  readonly name: string
  readonly dataCentre: string
  readonly endpoints: readonly EndpointState[]
  readonly peers: PeerLoad
  readonly model: EngineModel
  readonly distances: DataCentreDistances
  sequence: number
  exchangedAt: number
}

interface PendingStep {
  readonly at: number
  run (): void
}

/** Result of a run. */
export interface DataCentresResult {
  readonly requests: number
  /** Requests that were sent to another data centre. */
  readonly crossing: number
  /** Bytes of requests and answers between data centres. */
  readonly crossingBytes: number
  /** Requests whose first event came after its objective. */
  readonly late: number
}

/** Simulated hosts and engines. */
export class DataCentresSimulation {
  readonly #hosts: SimulatedHost[]
  readonly #aggregator = new LoadAggregator()
  readonly #freeAt = new Map<string, number>()
  readonly #steps: PendingStep[] = []
  readonly #result = { requests: 0, crossing: 0, crossingBytes: 0, late: 0 }
  readonly #memory = new PromptResidencyTracker()
  readonly #links = new StoreLinks(() => 1)
  #draws = 0

  /** @param options - size and load of the simulation */
  constructor (private readonly options: DataCentresOptions) {
    this.#hosts = options.dataCentres.flatMap(dataCentre => Array.from({ length: options.hostsEach }, (_, index) => this.#createHost(`${dataCentre}-${index}`, dataCentre)))
  }

  /**
   * @param milliseconds - duration of the run; no request arrives later
   * @returns counts of all requests, each served to its end
   */
  run (milliseconds: number): DataCentresResult {
    for (let now = 0; now < milliseconds; now += STEP_MS) {
      this.#runSteps(now)
      for (const [index, host] of this.#hosts.entries()) {
        if (this.#random() < this.#arrivalsPerMs(index, now) * STEP_MS) this.#place(host, now)
      }
    }
    this.#runSteps(Number.POSITIVE_INFINITY)
    return this.#result
  }

  #createHost (name: string, dataCentre: string): SimulatedHost {
    const { dataCentres, enginesEach, roundTripMs } = this.options
    const distances = new DataCentreDistances(dataCentre)
    for (const other of dataCentres) distances.observeConnection(other, roundTripMs, 0)
    const endpoints = dataCentres.flatMap(place => Array.from({ length: enginesEach }, (_, index) => new EndpointState({
      id: `${place}-e${index}`, service: 'pool', address: `${place}-${index}:1`, dataCentre: place, slots: 32, isLeaving: false, isBusy: false, models: [{ model: MODEL, version: 1 }]
    })))
    return { name, dataCentre, endpoints, peers: new PeerLoad(), model: new EngineModel(), distances, sequence: 0, exchangedAt: Number.NEGATIVE_INFINITY }
  }

  /** Returns the arrivals at one host; data centres at even and odd places have their highest demand in turns. */
  #arrivalsPerMs (hostIndex: number, now: number): number {
    const { hostsEach, requestsPerSecond } = this.options
    const isHigh = (now % PERIOD_MS < PERIOD_MS / 2) === (Math.floor(hostIndex / hostsEach) % 2 === 0)
    return requestsPerSecond / 1000 / hostsEach * (isHigh ? 1 + SWING : 1 - SWING)
  }

  #place (host: SimulatedHost, now: number): void {
    this.#exchangeLoad(host, now)
    const kind = this.#drawKind()
    const query: EndpointQuery = {
      excluded: new Set(),
      dataCentre: host.dataCentre,
      others: host.peers.isRecent(now) ? host.peers : undefined,
      prompt: this.#promptQuery(host, kind),
      ...(this.options.hasDistances ? { traffic: { distances: host.distances, bytes: kind.bytes + answerBytes(kind) } } : {})
    }
    const choice = chooseEndpoint(host.endpoints, query, this.#memory, now, this.#random())
    if (typeof choice === 'string') throw new Error(choice)
    const { endpoint, prefill, tokensHeld, load } = choice
    const isCrossing = endpoint.listed.dataCentre !== host.dataCentre
    const firstEventAt = this.#prefill(endpoint, kind, now + (isCrossing ? this.options.roundTripMs : 0))
    this.#count(kind, isCrossing, firstEventAt - now > kind.objectiveMs)
    endpoint.beginRequest(prefill.tokensToRead, tokensHeld, now)
    this.#schedule(firstEventAt, () => {
      endpoint.recordFirstEvent(prefill.tokensToRead)
      host.model.observe(load, firstEventAt - now)
    })
    this.#schedule(firstEventAt + kind.outputTokens * DECODE_STEP_MS, () => { endpoint.endRequest(tokensHeld) })
  }

  /** Returns when an engine has prefilled the prompt; it prefills one after another. */
  #prefill ({ id }: EndpointState, { promptTokens }: StreamKind, arrivesAt: number): number {
    const doneAt = Math.max(arrivesAt, this.#freeAt.get(id) ?? 0) + promptTokens / TOKENS_PER_MS
    this.#freeAt.set(id, doneAt)
    return doneAt + EVENT_TOKENS * DECODE_STEP_MS
  }

  #count (kind: StreamKind, isCrossing: boolean, isLate: boolean): void {
    this.#result.requests += 1
    if (isLate) this.#result.late += 1
    if (!isCrossing) return
    this.#result.crossing += 1
    this.#result.crossingBytes += kind.bytes + answerBytes(kind)
  }

  #promptQuery ({ model }: SimulatedHost, { promptTokens, outputTokens, objectiveMs }: StreamKind): PromptQuery {
    return {
      description: { model: MODEL, promptTokens, outputTokens, parts: [{ id: 'own', tokens: promptTokens }] },
      desiredVersion: 1,
      objectiveRemainingMs: objectiveMs,
      remainingMsOn: () => Number.POSITIVE_INFINITY,
      requiredVersion: undefined,
      engine: model,
      memoryTokens: 100_802,
      scope: () => 'v1',
      stored: () => ({ fetches: [], saves: [], storedTokens: 0 }),
      links: this.#links,
      bytesPerToken: 18_432
    }
  }

  #exchangeLoad (host: SimulatedHost, now: number): void {
    if (now - host.exchangedAt < EXCHANGE_INTERVAL_MS) return
    host.exchangedAt = now
    host.sequence += 1
    const work = host.endpoints.filter(endpoint => endpoint.hasAnythingToReport(now)).map(endpoint => ({ endpoint: endpoint.incarnation, ...endpoint.work(now) }))
    host.peers.recordOwnReport(host.sequence, { work, links: [] }, now)
    this.#aggregator.observe({ host: host.name, sequence: host.sequence, work, links: [] }, now)
    const totals = this.#aggregator.totals(now)
    const sequence = totals.sequences.get(host.name)
    if (sequence !== undefined) host.peers.recordTotals({ work: totals.work, links: [], sequence }, now)
  }

  #drawKind (): StreamKind {
    let left = this.#random()
    for (const kind of STREAM_KINDS) {
      left -= kind.share
      if (left < 0) return kind
    }
    return STREAM_KINDS[0] as StreamKind
  }

  #schedule (at: number, run: () => void): void {
    const after = this.#steps.findIndex(step => step.at > at)
    this.#steps.splice(after < 0 ? this.#steps.length : after, 0, { at, run })
  }

  #runSteps (now: number): void {
    for (let next = this.#steps[0]; next !== undefined && next.at <= now; next = this.#steps[0]) {
      this.#steps.shift()
      next.run()
    }
  }

  #random (): number {
    this.#draws += 1
    return mix32(Math.imul(this.options.seed, 0x9e3779b1) ^ Math.imul(this.#draws, 0x85ebca6b)) / 2 ** 32
  }
}

function answerBytes ({ outputTokens }: StreamKind): number {
  return Math.ceil(outputTokens / EVENT_TOKENS) * EVENT_BYTES
}
