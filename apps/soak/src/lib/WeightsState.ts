/** The weights of an endpoint stand-in: an order waits for the runs under way, then takes the next version. */
import { setTimeout as sleep } from 'node:timers/promises'

/** Time that loading takes, in milliseconds: short, so that several loads fit into one run of the soak. */
const LOAD_MS = 300

/** Interval between looks whether the last run has ended, in milliseconds. */
const POLL_INTERVAL_MS = 10

/** Holds one version and carries out orders. */
export class WeightsState {
  #isBusy = false
  #acceptedOrders = 0

  /**
   * @param version - held at the start
   * @param runs - runs under way, as of now
   * @param onChange - told of each new version
   */
  constructor (private version: number, private readonly runs: () => number, private readonly onChange: (version: number) => void) {}

  get loadedVersion (): number { return this.version }
  /** Whether new work must wait. */
  get isBusy (): boolean { return this.#isBusy }
  get acceptedOrders (): number { return this.#acceptedOrders }

  /**
   * @param version - wanted
   * @param expectedOrders - orders that were accepted before this one
   * @returns an HTTP status: 202 if it was accepted, 200 if it is held already, 409 if another order came first
   */
  order (version: number, expectedOrders: number): 200 | 202 | 409 {
    if (version <= this.version) return 200
    if (this.#isBusy || expectedOrders !== this.#acceptedOrders) return 409
    this.#acceptedOrders += 1
    void this.#load(version)
    return 202
  }

  async #load (version: number): Promise<void> {
    this.#isBusy = true
    while (this.runs() > 0) await sleep(POLL_INTERVAL_MS)
    await sleep(LOAD_MS)
    this.version = version
    this.#isBusy = false
    this.onChange(version)
  }
}
