/** Applies the cache events of one engine to the residency index. */
import type { EngineBackend } from '@eelgrassmux/backends/EngineClient'
import type { ResidencyIndex } from '@eelgrassmux/cache/ResidencyIndex'

/** Interval between reads of events, in milliseconds. */
const POLL_INTERVAL_MS = 150

/** Counts the outcome of a read of cache events. */
export type CountReadOutcome = (outcome: 'events' | 'gap' | 'restart' | 'silent') => void

/** Owns the connection to one engine and polls its cache events. */
export class EngineWatcher {
  #incarnation: number | undefined
  #timer: NodeJS.Timeout | undefined
  #isPolling = false

  /**
   * @param engine - endpoint name of the engine
   * @param client - client of the engine
   * @param index - index to update
   * @param countOutcome - counts outcomes of reads
   */
  constructor (
    private readonly engine: string,
    private readonly client: EngineBackend & { close (): Promise<void> },
    private readonly index: ResidencyIndex,
    private readonly countOutcome: CountReadOutcome
  ) {}

  /** Starts polling. */
  start (): void {
    this.#timer = setInterval(() => { void this.#poll() }, POLL_INTERVAL_MS)
  }

  /** Stops polling, removes the engine from the index and closes the connection. */
  async stop (): Promise<void> {
    clearInterval(this.#timer)
    this.index.forget(this.engine)
    await this.client.close()
  }

  async #poll (): Promise<void> {
    if (this.#isPolling) return
    this.#isPolling = true
    try {
      const next = this.index.nextSequence(this.engine)
      if (next === undefined) await this.#readListing()
      else await this.#readEvents(next)
    } finally {
      this.#isPolling = false
    }
  }

  async #readEvents (next: number): Promise<void> {
    const answer = await this.client.cacheEvents(next)
    if (!answer.ok) {
      // Blocks of an unresponsive engine can't be used, and it may restart with an empty cache.
      this.countOutcome('silent')
      this.index.forget(this.engine)
      return
    }
    if (answer.value.incarnation !== this.#incarnation) {
      this.countOutcome('restart')
      this.index.forget(this.engine)
      return
    }
    const outcome = answer.value.kind === 'gap' ? 'gap' : this.index.apply(this.engine, answer.value.events)
    if (outcome === 'gap') this.index.forget(this.engine)
    this.countOutcome(outcome === 'gap' ? 'gap' : 'events')
  }

  async #readListing (): Promise<void> {
    const listing = await this.client.cacheListing()
    if (!listing.ok) return
    this.#incarnation = listing.value.incarnation
    this.index.reset(this.engine, listing.value.keys, listing.value.nextSequence)
  }
}
