/**
 * Several hosts that choose among the same endpoints, on a virtual clock and without network, for tests.
 *
 * Hosts exchange their work as in service: through the bytes of load reports, with the host that adds up.
 */
import { vi } from 'vitest'
import { LoadAggregator, type AggregatedLoad } from '@eelgrassmux/routing/load/LoadAggregator'
import { decodeLoadReport, decodeLoadTotals, encodeLoadReport, encodeLoadTotals, frameLoadTotals } from '@eelgrassmux/routing/load/loadCodec'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { LoadTotals } from '@eelgrassmux/routing/load/loadReport'
import type { ListedEndpoint } from '@eelgrassmux/schema/site/listedEndpoint'
import { Telemetry } from '@eelgrassmux/telemetry/Telemetry'
import type { AnswerHead } from '../RoutedAttempt.js'
import type { ResponseFields } from '../RequestCodec.js'
import { learnFromFailure } from '../learnFromFailure.js'
import { RoutedFleet } from '../RoutedFleet.js'

/** Step of the virtual clock, in milliseconds. */
const STEP_MS = 5

/** Time from a send to the head of its answer, and to the end of it, in milliseconds. */
const HEAD_MS = 60
const WHOLE_MS = 150

/** Age up to which a host places requests on the others' work without asking anew, in milliseconds. */
const EXCHANGE_MS = 25

const SERVICE = 'pool'

/** What an endpoint says in its answers; they are whole unless it says otherwise. */
export interface Statement extends Partial<Pick<ResponseFields, 'requestsPerSecond'>> {
  /** It rejects what comes and wants nothing more from that host for so long; 0 if it asks for no pause. */
  readonly rejectsForMs?: number
}

/** What a simulation consists of. */
export interface HostsShape {
  readonly hosts: number
  readonly endpoints: number
  /** That come to each host. */
  readonly requestsPerSecond: number
  readonly seed: number
}

interface Host {
  readonly name: string
  readonly fleet: RoutedFleet
  exchangedAt: number
  sequence: number
}

/** One request at an endpoint. */
export interface Arrival {
  readonly host: string
  readonly at: number
}

interface PendingAnswer {
  readonly host: Host
  readonly endpoint: EndpointState
  readonly sentAt: number
  hasHead: boolean
  hasEnded: boolean
}

/** Hosts, endpoints and the requests between them. */
export class HostsSimulation {
  readonly #hosts: readonly Host[]
  readonly #board = new LoadAggregator()
  readonly #arrivals = new Map<string, Arrival[]>()
  readonly #statements = new Map<string, Statement>()
  readonly #requestsPerSecond: number
  #pending: PendingAnswer[] = []
  #readTotals: { readonly totals: AggregatedLoad, readonly read: LoadTotals } | undefined
  /** Requests for which no endpoint was to be had. */
  unplaced = 0
  /** Requests that an endpoint has rejected. */
  rejected = 0

  /**
   * Takes the clock of this process over; call {@link HostsSimulation.close} at the end.
   *
   * @param shape - what it consists of
   */
  constructor ({ hosts, endpoints, requestsPerSecond, seed }: HostsShape) {
    vi.useFakeTimers({ toFake: ['performance'] })
    vi.spyOn(Math, 'random').mockImplementation(seededRandom(seed))
    this.#requestsPerSecond = requestsPerSecond
    const listed = Array.from({ length: endpoints }, (_, number) => listedEndpoint(number))
    this.#hosts = Array.from({ length: hosts }, (_, number) => {
      const name = `10.0.${number >> 8}.${number & 255}:80`
      const fleet = new RoutedFleet('north', () => hosts, new Telemetry('test'), undefined, name)
      fleet.update(listed)
      return { name, fleet, exchangedAt: Number.NEGATIVE_INFINITY, sequence: 0 }
    })
  }

  /** Gives the clock back. */
  close (): void {
    vi.useRealTimers()
    vi.restoreAllMocks()
  }

  /**
   * @param endpoint - number of an endpoint
   * @param statement - what its answers say from now on
   */
  state (endpoint: number, statement: Statement): void {
    this.#statements.set(listedEndpoint(endpoint).id, statement)
  }

  /** @param milliseconds - of the virtual clock in which requests come */
  run (milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
      vi.advanceTimersByTime(STEP_MS)
      this.#answer(performance.now())
      for (const host of this.#hosts) {
        if (Math.random() < this.#requestsPerSecond * STEP_MS / 1000) this.#place(host, performance.now())
      }
    }
  }

  /**
   * @param endpoint - number of an endpoint
   * @param since - monotonic milliseconds
   * @returns requests that reached it since then
   */
  arrivals (endpoint: number, since = 0): readonly Arrival[] {
    return this.#arrivalsOf(listedEndpoint(endpoint).id).filter(({ at }) => at >= since)
  }

  #place (host: Host, now: number): void {
    this.#exchange(host, now)
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

  #answer (now: number): void {
    for (const pending of this.#pending) {
      if (!pending.hasHead && now >= pending.sentAt + HEAD_MS) this.#answerHead(pending, now)
      if (!pending.hasEnded && now >= pending.sentAt + WHOLE_MS) this.#end(pending)
    }
    this.#pending = this.#pending.filter(({ hasEnded }) => !hasEnded)
  }

  #answerHead (pending: PendingAnswer, now: number): void {
    const { host, endpoint } = pending
    const head = headOf(this.#statements.get(endpoint.id) ?? {})
    pending.hasHead = true
    endpoint.observeBytes(now)
    host.fleet.limits.observeAnswer(endpoint, head, now)
    if (!head.fields.isNotExecuted) return
    learnFromFailure(host.fleet, endpoint, 'rejected', head)
    endpoint.endRequest(0)
    pending.hasEnded = true
    this.rejected += 1
  }

  #end (pending: PendingAnswer): void {
    pending.endpoint.endRequest(0)
    pending.host.fleet.observe(pending.endpoint, 'success')
    pending.hasEnded = true
  }

  #exchange (host: Host, now: number): void {
    if (now - host.exchangedAt < EXCHANGE_MS) return
    host.exchangedAt = now
    host.sequence += 1
    const own = host.fleet.ownWork()
    host.fleet.otherHostsLoad.recordOwnReport(host.sequence, own)
    this.#board.observe(decodeLoadReport(encodeLoadReport({ host: host.name, sequence: host.sequence, ...own })), now)
    const totals = this.#board.totals(now)
    const sequence = totals.sequences.get(host.name)
    if (sequence === undefined) return
    // Read once for all hosts, whatever their sequence.
    if (this.#readTotals?.totals !== totals) this.#readTotals = { totals, read: decodeLoadTotals(frameLoadTotals(0, encodeLoadTotals(totals))) }
    host.fleet.otherHostsLoad.recordTotals({ ...this.#readTotals.read, sequence }, now)
    host.fleet.applyObservations()
  }
}

function listedEndpoint (number: number): ListedEndpoint {
  return { id: `e-${number}`, service: SERVICE, address: `10.1.0.${number}:80`, dataCentre: 'north', slots: 48, isLeaving: false, isBusy: false, models: [] }
}

function headOf ({ requestsPerSecond, rejectsForMs }: Statement): AnswerHead {
  const isNotExecuted = rejectsForMs !== undefined
  return {
    status: isNotExecuted ? 503 : 200,
    headers: [],
    fields: { requestId: undefined, isNotExecuted, instance: undefined, load: undefined, version: undefined, requestsPerSecond, isLeaving: false, retryAfterMs: rejectsForMs === 0 ? undefined : rejectsForMs }
  }
}

/** Numbers in [0, 1) by a linear congruential generator. */
function seededRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}
