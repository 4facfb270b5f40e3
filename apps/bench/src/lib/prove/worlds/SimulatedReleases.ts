/** Releases of new software versions, and the endpoint list as the platform states it, for simulations. */
import type { Simulation } from '../Simulation.js'

const ENDPOINTS = 12

/** Longest time by which the platform's list lags, in milliseconds. */
const PLATFORM_LAG_MS = 800

/** Longest time between two replacements of endpoints in a release, and between releases, in milliseconds. */
const MAX_RELEASE_STEP_MS = 1200
const MAX_RELEASE_PAUSE_MS = 6000

/** Share of releases in which all endpoints are replaced at the same moment, and time for which the old ones are still listed, in milliseconds. */
const WHOLE_RELEASE_SHARE = 0.4
const LEAVING_MS = 3000

/** An endpoint with a software version. */
export interface SimulatedEndpoint {
  readonly id: number
  readonly service: string
  readonly software: string
  /** Whether the endpoint takes no new streams. */
  readonly isLeaving: boolean
}

/** Endpoints of one service, which releases replace one after the other or all at once. */
export class SimulatedReleases {
  /** Lists as the platform states them, the newest last; each is stated from the given time. */
  readonly #stated: Array<{ readonly from: number, readonly endpoints: readonly SimulatedEndpoint[] }> = []
  #endpoints: readonly SimulatedEndpoint[]
  #release = 0
  #isWhole = false

  /**
   * @param simulation - the seeded schedule
   * @param service - service of all endpoints
   * @param nextId - returns an id that is not in use
   */
  constructor (private readonly simulation: Simulation, private readonly service: string, private readonly nextId: () => number) {
    this.#endpoints = Array.from({ length: ENDPOINTS }, () => this.#newEndpoint(1))
    this.#stated.push({ from: 0, endpoints: this.#endpoints })
  }

  /** Endpoints that exist now, whatever the list says. */
  get endpoints (): readonly SimulatedEndpoint[] { return this.#endpoints }

  /**
   * @param now - simulated milliseconds
   * @returns the list that the platform states then
   */
  statedAt (now: number): readonly SimulatedEndpoint[] | undefined {
    return this.#stated.findLast(({ from }) => from <= now)?.endpoints
  }

  /** Begins the release of the second version; others follow. */
  start (): void {
    this.#replaceSome(2)
  }

  #newEndpoint (release: number): SimulatedEndpoint {
    return { id: this.nextId(), service: this.service, software: `v${release}`, isLeaving: false }
  }

  /** Replaces endpoints one after the other by those of the release, then pauses. */
  #replaceSome (release: number): void {
    this.simulation.schedule(MAX_RELEASE_STEP_MS * this.simulation.random(), () => {
      if (release !== this.#release) {
        this.#release = release
        this.#isWhole = this.simulation.chance(WHOLE_RELEASE_SHARE)
      }
      if (this.#isWhole) return this.#replaceAll(release)
      this.#list([...this.#endpoints.slice(1), this.#newEndpoint(release)])
      if (!this.#endpoints.every(({ software }) => software === `v${release}`)) return this.#replaceSome(release)
      this.#pauseAfter(release)
    })
  }

  /** Lists all endpoints as leaving while as many of the release join, and removes them some seconds later. */
  #replaceAll (release: number): void {
    const joining = this.#endpoints.map(() => this.#newEndpoint(release))
    this.#list([...this.#endpoints.map(endpoint => ({ ...endpoint, isLeaving: true })), ...joining])
    this.simulation.schedule(LEAVING_MS, () => {
      this.#list(joining)
      this.#pauseAfter(release)
    })
  }

  #pauseAfter (release: number): void {
    this.simulation.schedule(this.simulation.random() * MAX_RELEASE_PAUSE_MS, () => { this.#replaceSome(release + 1) })
  }

  #list (endpoints: readonly SimulatedEndpoint[]): void {
    this.#endpoints = endpoints
    this.#stated.push({ from: this.simulation.now() + PLATFORM_LAG_MS * this.simulation.random(), endpoints })
    this.#stated.sort((left, right) => left.from - right.from)
  }
}
