/** Endpoints that run requests in virtual time, crash, break connections and restart. */
import { PROOF_OF_PROGRESS_MS } from '@eelgrassmux/routing/quarantine/CrashEvidence'
import type { Simulation } from '../Simulation.js'

/** A request; repeats of it use the same object. */
export interface PoolRequest {
  readonly fingerprint: string
  readonly isPoison: boolean
  /** Fingerprints of the shared parts of its prompt. */
  readonly parts: readonly string[]
  /** Time until it begins to answer, in milliseconds; a request that is poison never does. */
  readonly firstEventMs: number
  /** Time until the request completes or, if it is poison, crashes the endpoint, in milliseconds. */
  durationMs (): number
}

/** A request that runs on an endpoint. */
export interface PoolRun {
  readonly request: PoolRequest
  /** Name and incarnation of the endpoint. */
  readonly endpoint: string
  readonly startedAt: number
}

/** Called exactly once for each run, with its outcome. */
export interface RunListener {
  /** Called if the request still runs when it has answered for long enough to show that its prompt crashes nothing. */
  onProgress (run: PoolRun): void
  onCompleted (run: PoolRun): void
  onLost (run: PoolRun): void
}

interface SimulatedEndpoint {
  readonly name: string
  incarnation: number
  isUp: boolean
  readonly runs: Map<PoolRun, RunListener>
}

/** Bounds of the downtime of a crashed endpoint, in milliseconds. */
const MIN_RESTART_MS = 500
const MAX_RESTART_MS = 3000

/** The endpoints of one service. */
export class SimulatedPool {
  readonly #endpoints: SimulatedEndpoint[]

  /**
   * @param simulation - the seeded schedule
   * @param size - number of endpoints
   */
  constructor (private readonly simulation: Simulation, size: number) {
    this.#endpoints = Array.from({ length: size }, (_, index) => ({ name: `endpoint-${index}`, incarnation: 1, isUp: true, runs: new Map() }))
  }

  /**
   * @param request - request to run on any endpoint that is up
   * @param listener - called with the outcome
   * @returns the run, or undefined if no endpoint is up
   */
  run (request: PoolRequest, listener: RunListener): PoolRun | undefined {
    const up = this.#endpoints.filter(({ isUp }) => isUp)
    if (up.length === 0) return undefined
    const endpoint = this.simulation.pickFrom(up)
    const run: PoolRun = { request, endpoint: incarnationName(endpoint), startedAt: this.simulation.now() }
    endpoint.runs.set(run, listener)
    if (!request.isPoison) this.simulation.schedule(request.firstEventMs + PROOF_OF_PROGRESS_MS, () => { if (endpoint.runs.has(run)) listener.onProgress(run) })
    this.simulation.schedule(request.durationMs(), () => {
      if (!endpoint.runs.has(run)) return
      if (request.isPoison) {
        this.#crash(endpoint)
        return
      }
      endpoint.runs.delete(run)
      listener.onCompleted(run)
    })
    return run
  }

  /** @returns whether that incarnation has crashed */
  hasCrashed (incarnation: string): boolean {
    return !this.#endpoints.some(endpoint => endpoint.isUp && incarnationName(endpoint) === incarnation)
  }

  /** Crashes several endpoints at the same moment, like the failure of a rack. */
  crashTogether (count: number): void {
    const first = this.simulation.pick(this.#endpoints.length)
    for (let index = 0; index < count; index += 1) {
      const endpoint = this.#endpoints[(first + index) % this.#endpoints.length]
      if (endpoint?.isUp === true) this.#crash(endpoint)
    }
  }

  /** Breaks all connections of one endpoint, which keeps running. */
  breakConnections (): void {
    this.#loseRuns(this.simulation.pickFrom(this.#endpoints))
  }

  #crash (endpoint: SimulatedEndpoint): void {
    endpoint.isUp = false
    this.#loseRuns(endpoint)
    this.simulation.schedule(MIN_RESTART_MS + this.simulation.random() * (MAX_RESTART_MS - MIN_RESTART_MS), () => {
      endpoint.incarnation += 1
      endpoint.isUp = true
    })
  }

  #loseRuns (endpoint: SimulatedEndpoint): void {
    const lost = [...endpoint.runs]
    endpoint.runs.clear()
    for (const [run, listener] of lost) listener.onLost(run)
  }
}

function incarnationName ({ name, incarnation }: SimulatedEndpoint): string {
  return `${name}#${incarnation}`
}
