/**
 * Simulation of hosts that send streams to engines, on a virtual clock and without a network, for tests.
 *
 * The arrivals and the paces of machines depend only on the seed, so that two runs differ only by the features in use.
 */
import { vi } from 'vitest'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import { LoadFeatures, type LoadFeatureChoice } from '@eelgrassmux/routing/features/LoadFeatures'
import { LoadAggregator, type AggregatedLoad } from '@eelgrassmux/routing/load/LoadAggregator'
import { decodeLoadReport, decodeLoadTotals, encodeLoadReport, encodeLoadTotals, frameLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import type { LoadTotals } from '@eelgrassmux/routing/load/loadReport'
import type { PromptPart } from '@eelgrassmux/routing/prompts/promptDescription'
import { engineRank } from '@eelgrassmux/routing/prompts/engineRank'
import type { ReplicatedService, Route } from '@eelgrassmux/schema/site/siteSchema'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import { admitRouted } from '../admitRouted.js'
import { learnFromFirstEvent } from '../learnFromFirstEvent.js'
import { learnFromHead } from '../learnFromHead.js'
import type { RoutedRequest } from '../RoutedRequest.js'
import { StreamPauses } from '../StreamPauses.js'
import { RoutedFleet } from '../RoutedFleet.js'
import { SimulatedEngine, type EngineSpeeds } from './SimulatedEngine.js'

const STEP_MS = 2
const MILLISECONDS_PER_SECOND = 1000

/** Age from which a host requests the load of the other hosts again before it places a request, in milliseconds. */
const LOAD_EXCHANGE_INTERVAL_MS = 25

/** Interval at which a request that waits is placed again, in milliseconds. */
const RETRY_INTERVAL_MS = 40

/** Requests arrive in groups. */
const CLUMP = 3

/** Share of its output limit that a stream produces. */
const OUTPUT_SHARE = 0.5

const MODEL = 'm'
const CACHE_SCOPE = 'v1'
const SERVICE: ReplicatedService = { type: 'replicated', name: 'pool', connectionsPerEndpoint: 0, healthPath: '/' }

/** Streams of one route. */
export interface StreamKind {
  readonly route: Route
  readonly perSecond: number
  /** Tokens of the part of each prompt that is shared with other prompts. */
  readonly sharedTokens: number
  /** Number of different shared parts. */
  readonly sharedParts: number
  /** Tokens of the part that belongs to one prompt. */
  readonly ownTokens: number
  readonly outputTokens: number
}

/** Options of a simulation. */
export interface EnginesSimulationOptions {
  readonly hosts: number
  readonly engines: number
  readonly speeds: EngineSpeeds
  readonly kinds: readonly StreamKind[]
  readonly features: readonly LoadFeatureChoice[]
  readonly seed: number
  /** Share of machines that are slow at a time, how much slower they are, and the mean time until a machine's pace is drawn anew, in milliseconds. */
  readonly slowMachines: { readonly share: number, readonly factor: number, readonly periodMs: number }
}

/** How a stream went; streams that were refused have no first event. */
export interface StreamOutcome {
  readonly kind: StreamKind
  readonly arrivedAt: number
  firstEventMs: number | undefined
  longestPauseMs: number
  isComplete: boolean
}

interface Host {
  readonly name: string
  readonly fleet: RoutedFleet
  loadExchangedAt: number
  sequence: number
}

interface Arrival {
  readonly host: Host
  readonly outcome: StreamOutcome
  readonly sharedPart: string
  placeAt: number
}

/** Simulated hosts and engines. */
export class EnginesSimulation {
  readonly outcomes: StreamOutcome[] = []
  readonly #hosts: readonly Host[]
  readonly #engines = new Map<string, SimulatedEngine>()
  readonly #redrawAt = new Map<SimulatedEngine, number>()
  readonly #board = new LoadAggregator()
  readonly #arrivalRandom: () => number
  readonly #machineRandom: () => number
  #placements: Arrival[] = []
  #deliveries: Array<() => void> = []
  #readTotals: { readonly totals: AggregatedLoad, readonly read: LoadTotals } | undefined

  /**
   * Replaces the clock and the random numbers of this process until {@link EnginesSimulation.close} is called.
   *
   * @param options - size, load, features and random seed of the simulation
   */
  constructor (private readonly options: EnginesSimulationOptions) {
    const { hosts, engines, speeds, features, seed } = options
    vi.useFakeTimers({ toFake: ['performance'] })
    vi.spyOn(Math, 'random').mockImplementation(seededRandom(seed))
    this.#arrivalRandom = seededRandom(seed + 1)
    this.#machineRandom = seededRandom(seed + 2)
    const listed = Array.from({ length: engines }, (_, number) => ({
      id: `e-${number}`, service: SERVICE.name, address: `10.1.0.${number}:80`, dataCentre: 'north', slots: speeds.slots, isLeaving: false, isBusy: false, models: [{ model: MODEL, version: 1 }]
    }))
    for (const { id } of listed) this.#engines.set(id, new SimulatedEngine(speeds))
    this.#hosts = Array.from({ length: hosts }, (_, number) => {
      const name = `10.0.0.${number}:80`
      const fleet = new RoutedFleet('north', () => hosts, new Telemetry('test'), undefined, name, new LoadFeatures(features))
      fleet.update(listed)
      return { name, fleet, loadExchangedAt: Number.NEGATIVE_INFINITY, sequence: 0 }
    })
  }

  /** Restores the clock and the random numbers. */
  close (): void {
    vi.useRealTimers()
    vi.restoreAllMocks()
  }

  /** @param milliseconds - time on the virtual clock during which streams arrive */
  run (milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
      vi.advanceTimersByTime(STEP_MS)
      const now = performance.now()
      this.#drawPaces(now)
      for (const engine of this.#engines.values()) engine.advance(now)
      for (const deliver of this.#deliveries.splice(0)) deliver()
      for (const kind of this.options.kinds) this.#arrive(kind, now)
      this.#placeDue(now)
    }
  }

  #drawPaces (now: number): void {
    const { share, factor, periodMs } = this.options.slowMachines
    for (const engine of this.#engines.values()) {
      if (now < (this.#redrawAt.get(engine) ?? 0)) continue
      this.#redrawAt.set(engine, now + periodMs * (0.5 + this.#machineRandom()))
      engine.paceFactor = this.#machineRandom() < share ? factor : 1
    }
  }

  #arrive (kind: StreamKind, now: number): void {
    if (this.#arrivalRandom() >= kind.perSecond / CLUMP * STEP_MS / MILLISECONDS_PER_SECOND) return
    const sharedPart = `${kind.route.name}${Math.floor(this.#arrivalRandom() * kind.sharedParts)}`
    for (let number = 0; number < CLUMP; number += 1) {
      const host = this.#hosts[Math.floor(this.#arrivalRandom() * this.#hosts.length)]
      if (host === undefined) continue
      const outcome: StreamOutcome = { kind, arrivedAt: now, firstEventMs: undefined, longestPauseMs: 0, isComplete: false }
      this.outcomes.push(outcome)
      this.#placements.push({ host, outcome, sharedPart, placeAt: now })
    }
  }

  #placeDue (now: number): void {
    const due = this.#placements.filter(({ placeAt }) => placeAt <= now)
    this.#placements = this.#placements.filter(({ placeAt }) => placeAt > now)
    for (const arrival of due) this.#place(arrival, now)
  }

  #place (arrival: Arrival, now: number): void {
    const { host: { fleet }, outcome: { kind, arrivedAt } } = arrival
    this.#exchangeLoad(arrival.host, now)
    const choice = fleet.choose(SERVICE.name, {
      excluded: new Set(),
      prompt: {
        description: { model: MODEL, promptTokens: kind.sharedTokens + kind.ownTokens, outputTokens: kind.outputTokens / OUTPUT_SHARE, parts: partsOf(arrival) },
        desiredVersion: 1,
        objectiveRemainingMs: arrivedAt + kind.route.targetLatencyMs - now,
        remainingMsOn: () => Number.POSITIVE_INFINITY,
        engine: fleet.engineModel(SERVICE.name),
        memoryTokens: 0,
        requiredVersion: undefined,
        scope: () => CACHE_SCOPE,
        stored: () => ({ fetches: [], saves: [], storedTokens: 0 }),
        links: fleet.storeLinks,
        bytesPerToken: 1,
        longestPauseMs: kind.route.longestPauseMs
      }
    })
    if (typeof choice === 'string') return
    const request = toRequest(kind, arrivedAt)
    const admission = admitRouted(request, choice, fleet, { prompt: undefined, hasFirstEvent: false, hasQueue: false, deadline: arrivedAt + kind.route.timeoutMs }, now)
    if (admission.kind === 'send') this.#send(arrival, request, choice, admission.isExpectedLate, now)
    else if (admission.kind === 'wait') this.#placements.push({ ...arrival, placeAt: now + RETRY_INTERVAL_MS })
  }

  #send ({ host: { fleet }, outcome, sharedPart }: Arrival, request: RoutedRequest, choice: EndpointChoice, isExpectedLate: boolean, now: number): void {
    const { endpoint, prefill, tokensHeld } = choice
    const engine = this.#engines.get(endpoint.id)
    endpoint.beginRequest(prefill.tokensToRead, tokensHeld, now)
    endpoint.runningStreams.begin(request.route.longestPauseMs)
    const pauses = new StreamPauses(fleet, request)
    let lastEventAt: number | undefined
    if (engine === undefined) return
    engine.submit({
      rank: engineRank(undefined, request.route.priority, isExpectedLate),
      promptTokens: outcome.kind.ownTokens,
      shared: { id: sharedPart, tokens: outcome.kind.sharedTokens },
      outputTokens: outcome.kind.outputTokens,
      onEvent: (at, isLast) => {
        if (lastEventAt === undefined) outcome.firstEventMs = at - outcome.arrivedAt
        else outcome.longestPauseMs = Math.max(outcome.longestPauseMs, at - lastEventAt)
        const isFirst = lastEventAt === undefined
        lastEventAt = at
        outcome.isComplete = isLast
        this.#deliveries.push(() => {
          endpoint.observeBytes(performance.now())
          if (isFirst) {
            endpoint.recordFirstEvent(prefill.tokensToRead)
            this.#learnFromHead(fleet, endpoint, engine)
            learnFromFirstEvent(fleet, request, { choice, startedAt: now })
          }
          pauses.observeEvent(endpoint, performance.now())
          if (!isLast) return
          endpoint.runningStreams.end(request.route.longestPauseMs)
          endpoint.endRequest(tokensHeld)
        })
      }
    }, now)
    fleet.promptMemory.recordSend(CACHE_SCOPE, [{ id: sharedPart, tokens: outcome.kind.sharedTokens }], endpoint.incarnation, now)
  }

  #learnFromHead (fleet: RoutedFleet, endpoint: EndpointState, engine: SimulatedEngine): void {
    const load = { running: engine.running, waiting: engine.waiting, slots: this.options.speeds.slots, paceFactor: engine.paceFactor }
    learnFromHead(fleet, endpoint, MODEL, {
      status: 200,
      headers: [],
      fields: { requestId: undefined, isNotExecuted: false, instance: undefined, load, version: undefined, requestsPerSecond: undefined, isLeaving: false, retryAfterMs: undefined }
    }, performance.now())
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

function partsOf ({ outcome: { kind }, sharedPart }: Arrival): PromptPart[] {
  return [{ id: sharedPart, tokens: kind.sharedTokens }, { id: '', tokens: kind.ownTokens }]
}

function toRequest ({ route }: StreamKind, arrivedAt: number): RoutedRequest {
  return { id: 'r', route, service: SERVICE, customer: undefined, fields: { requestId: undefined, key: undefined, deadlineMs: undefined, prompt: undefined, lastEventId: undefined }, body: undefined, arrivedAt, siteVersion: 1 }
}

/** Returns a linear congruential generator of numbers in [0, 1). */
function seededRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}
