/** The weights of an endpoint stand-in: an order waits until the current runs have ended, then loads the new version. */
import { setTimeout as sleep } from 'node:timers/promises'

/** Duration of loading, in milliseconds: short, so that several loads fit into one run of the soak. */
const LOAD_MS = 300

/** Interval between checks whether the last run has ended, in milliseconds. */
const POLL_INTERVAL_MS = 10

/** Holds one version and executes orders to load another. */
export class WeightsState {
  #isBusy = false
  #acceptedOrders = 0

  /**
   * @param version - version that is loaded at the start
   * @param runs - returns the current number of runs
   * @param onChange - called with each version after it is loaded
   */
  constructor (private version: number, private readonly runs: () => number, private readonly onChange: (version: number) => void) {}

  get loadedVersion (): number { return this.version }
  /** Whether an order is in progress, so that new work must be rejected. */
  get isBusy (): boolean { return this.#isBusy }
  get acceptedOrders (): number { return this.#acceptedOrders }

  /**
   * @param version - version to load
   * @param expectedOrders - number of orders that the sender believes were accepted before this one
   * @returns an HTTP status: 202 if the order is accepted, 200 if this version or a newer one is already loaded, 409 if an order is in progress or another order was accepted first
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
