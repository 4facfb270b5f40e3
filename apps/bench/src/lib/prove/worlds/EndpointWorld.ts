/** Endpoints leave, restart and stop reporting while the membership list lags or is no longer updated. Checks that leaving endpoints get no new work. */
import { DEFAULT_ENDPOINT_SETTINGS, EndpointTable, type ListedMember } from '@eelgrassmux/policy/health/EndpointTable'
import type { CheckRecorder, PromiseName } from '../CheckRecorder.js'
import type { Simulation } from '../Simulation.js'
import type { World } from '../World.js'

const ENDPOINTS = 6
const MAX_EVENTS = 20_000
const DURATION_MS = 120_000

/** Time after which a leaving endpoint must get no new work, in milliseconds. The promise says "a few seconds". */
const MAX_DISPATCH_AFTER_LEAVING_MS = 3000

interface SimulatedEndpoint {
  readonly name: string
  incarnation: number
  leavingSince: number | undefined
  /** Whether the reports of the endpoint are lost. */
  isCutOff: boolean
}

/** Checks that leaving endpoints get no new work. */
export class EndpointWorld implements World {
  readonly #endpoints: SimulatedEndpoint[] = []
  readonly #table: EndpointTable
  #memberList: ListedMember[] = []
  #isListStale = false

  /**
   * @param simulation - the seeded schedule
   * @param recorder - counts the checks
   * @param broken - promise whose mechanism is disabled
   */
  constructor (private readonly simulation: Simulation, private readonly recorder: CheckRecorder, private readonly broken: PromiseName | undefined) {
    const reportLifetimeMs = broken === 'leaving-gets-no-work' ? Number.POSITIVE_INFINITY : DEFAULT_ENDPOINT_SETTINGS.reportLifetimeMs
    this.#table = new EndpointTable({ ...DEFAULT_ENDPOINT_SETTINGS, reportLifetimeMs })
    for (let index = 0; index < ENDPOINTS; index += 1) {
      this.#endpoints.push({ name: `endpoint-${index}`, incarnation: 1, leavingSince: undefined, isCutOff: false })
    }
    this.#table.retain(new Set(this.#endpoints.map(endpoint => endpoint.name)))
  }

  async run (): Promise<void> {
    for (const endpoint of this.#endpoints) this.#reportLoop(endpoint)
    this.#listLoop()
    this.#dispatchLoop()
    this.#faultLoop()
    await this.simulation.run({ events: MAX_EVENTS, until: DURATION_MS })
  }

  #reportLoop (endpoint: SimulatedEndpoint): void {
    this.simulation.schedule(250, () => {
      this.#reportLoop(endpoint)
      const report = { leaving: endpoint.leavingSince !== undefined, incarnation: endpoint.incarnation }
      if (endpoint.isCutOff) return
      this.simulation.send(endpoint.name, 'entry', () => { this.#table.observeReport(endpoint.name, report, this.simulation.now()) })
    })
  }

  #listLoop (): void {
    this.simulation.schedule(500, () => {
      this.#listLoop()
      const snapshot = this.#endpoints.map(({ name, incarnation, leavingSince }): ListedMember =>
        ({ name, incarnation, state: leavingSince === undefined ? 'live' : 'leaving' }))
      // The platform's list lags by seconds and may stop being updated at all.
      this.simulation.schedule(1000 + this.simulation.random() * 4000, () => { if (!this.#isListStale) this.#memberList = snapshot })
      this.#table.observeMemberList(this.#memberList)
    })
  }

  #dispatchLoop (): void {
    this.simulation.schedule(10 + this.simulation.random() * 30, () => {
      this.#dispatchLoop()
      const now = this.simulation.now()
      const eligible = this.#table.eligible(now)
      if (eligible.length === 0) return
      const name = this.simulation.pickFrom(eligible)
      const endpoint = this.#endpoints.find(candidate => candidate.name === name)
      const leavingFor = now - (endpoint?.leavingSince ?? now)
      this.recorder.check('leaving-gets-no-work', leavingFor < MAX_DISPATCH_AFTER_LEAVING_MS, () => `${name} got new work ${leavingFor.toFixed(0)} ms after it began to leave`)
    })
  }

  #faultLoop (): void {
    this.simulation.schedule(200 + this.simulation.random() * 800, () => {
      this.#faultLoop()
      const endpoint = this.simulation.pickFrom(this.#endpoints)
      if (this.simulation.drawFault('kill', 0.4) && endpoint.leavingSince === undefined) {
        endpoint.leavingSince = this.simulation.now()
        this.simulation.schedule(4000 + this.simulation.random() * 8000, () => {
          endpoint.incarnation += 1
          endpoint.leavingSince = undefined
          endpoint.isCutOff = false
        })
      }
      if (this.simulation.drawFault('cut', 0.3)) endpoint.isCutOff = true
      else if (endpoint.leavingSince === undefined) endpoint.isCutOff = false
      if (this.simulation.drawFault('freeze', 0.05)) this.#isListStale = !this.#isListStale
    })
  }
}
