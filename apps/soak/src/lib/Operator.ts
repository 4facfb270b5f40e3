/** Stores sites and requests weight versions through any control host that answers, and reads back the site in force. */
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { siteSchema } from '@eelgrassmux/schema/site/siteSchema'
import type { ConfigurationCheck } from './checks/ConfigurationCheck.js'
import type { SeededRandom } from './SeededRandom.js'
import type { Incarnation, ProcessSlot } from './ProcessSlot.js'
import { MODEL, soakSite } from './soakSite.js'

/** Timeout of a request to a control host, in milliseconds. */
const REQUEST_TIMEOUT_MS = 1500

/** Delay before the next attempt, in milliseconds. */
const RETRY_DELAY_MS = 150

/** Maximum number of attempts to send a change. */
const MAX_ATTEMPTS = 10

/** Interval between reads, in milliseconds. */
const READ_INTERVAL_MS = 200

const OK = 200

/** Answer of a control host that is not sure which site is the newest. */
const UNCONFIRMED = 503

interface ControlResponse { readonly status: number, readonly text: string }

/** The operator of a run; its changes may overlap. */
export class Operator {
  #siteVersion = 0
  #weightsVersion = 1
  #newestWeightsVersion = 1
  #isStopped = false

  /**
   * @param controls - control hosts
   * @param random - chooses the control host for each attempt
   * @param check - notified of sites that were sent, acknowledged and read
   * @param hasColdRate - whether the sites limit the request rate of cold endpoints
   */
  constructor (
    private readonly controls: readonly ProcessSlot[], private readonly random: SeededRandom, private readonly check: ConfigurationCheck, private readonly hasColdRate: boolean
  ) {}

  /** The newest acknowledged version of the weights. */
  get newestWeightsVersion (): number { return this.#newestWeightsVersion }

  /** Stores the next site version. */
  async putSite (): Promise<void> {
    this.#siteVersion += 1
    const version = this.#siteVersion
    const source = JSON.stringify(soakSite(version, this.hasColdRate))
    this.check.recordSent(version, source)
    if (await this.#send('/site', source)) this.check.recordAcknowledgement(version)
  }

  /** Requests the next version of the weights. */
  async nameWeights (): Promise<void> {
    this.#weightsVersion += 1
    const version = this.#weightsVersion
    if (await this.#send('/weights', JSON.stringify({ model: MODEL, version }))) this.#newestWeightsVersion = Math.max(this.#newestWeightsVersion, version)
  }

  /**
   * Orders an evacuation or lifts it.
   *
   * @param dataCentre - data centre to evacuate
   * @param isEvacuated - false to lift the evacuation
   * @returns whether the change was acknowledged
   */
  async evacuate (dataCentre: string, isEvacuated: boolean): Promise<boolean> {
    return await this.#send('/evacuations', JSON.stringify({ dataCentre, isEvacuated }))
  }

  /** Reads the site repeatedly until stopped. */
  async readRepeatedly (): Promise<void> {
    while (!this.#isStopped) {
      await this.readOnce()
      await sleep(READ_INTERVAL_MS)
    }
  }

  /** Ends {@link Operator.readRepeatedly}. */
  stop (): void {
    this.#isStopped = true
  }

  /** @returns whether a control host returned the site in force */
  async readOnce (): Promise<boolean> {
    const control = this.#pickControlHost()
    if (control === undefined) return false
    const startedAt = Date.now()
    const answer = await callControlHost(control, 'GET', '/site')
    if (answer?.status === UNCONFIRMED) this.check.recordRefusedRead(control.label, startedAt)
    if (answer?.status !== OK) return false
    const { version } = siteSchema.parse(JSON.parse(answer.text))
    this.check.recordRead({ control: control.label, startedAt, version, source: answer.text })
    return true
  }

  async #send (path: string, body: string): Promise<boolean> {
    for (let turn = 0; turn < MAX_ATTEMPTS; turn += 1) {
      const control = this.#pickControlHost()
      const answer = control === undefined ? undefined : await callControlHost(control, 'PUT', path, body)
      if (answer?.status === OK) return true
      await sleep(RETRY_DELAY_MS)
    }
    return false
  }

  #pickControlHost (): Incarnation | undefined {
    const running = this.controls.flatMap(({ current }) => current ?? [])
    return running.length === 0 ? undefined : this.random.pick(running)
  }
}

async function callControlHost ({ addresses }: Incarnation, method: 'GET' | 'PUT', path: string, body?: string): Promise<ControlResponse | undefined> {
  try {
    const response = await request(`http://${addresses['operators'] ?? ''}${path}`, {
      method, signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS), ...(body === undefined ? {} : { body })
    })
    return { status: response.statusCode, text: await response.body.text() }
  } catch {
    // Without an answer the change may or may not be in force; nothing was acknowledged.
    return undefined
  }
}
