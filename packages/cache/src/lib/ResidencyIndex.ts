/**
 * What engines say they hold in their prefix caches.
 *
 * Cache events come late and with gaps, so this is a hint: an error costs time,
 * never correctness. A gap makes the index forget the engine and ask for a
 * full listing.
 */

/** One change of an engine's cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'removed'
  readonly keys: readonly string[]
}

/** What a batch of events did to the index. */
export type EventOutcome = 'applied' | 'gap'

interface EngineResidency {
  nextSequence: number
  keys: Set<string>
}

/** Block keys held by each engine, as far as known. */
export class ResidencyIndex {
  readonly #engines = new Map<string, EngineResidency>()

  /** Number of keys known over all engines. */
  get size (): number {
    let total = 0
    for (const { keys } of this.#engines.values()) total += keys.size
    return total
  }

  /**
   * @param engine - endpoint name
   * @returns sequence number of the next event wanted, or undefined if a full listing is needed
   */
  nextSequence (engine: string): number | undefined {
    return this.#engines.get(engine)?.nextSequence
  }

  /**
   * Replaces what is known of an engine.
   *
   * @param engine - endpoint name
   * @param keys - all keys it holds
   * @param nextSequence - number of the first event not in the listing
   */
  reset (engine: string, keys: Iterable<string>, nextSequence: number): void {
    this.#engines.set(engine, { nextSequence, keys: new Set(keys) })
  }

  /** @param engine - endpoint that is gone or restarted */
  forget (engine: string): void {
    this.#engines.delete(engine)
  }

  /** @param engines - endpoints still configured; all others are forgotten */
  retain (engines: ReadonlySet<string>): void {
    for (const engine of this.#engines.keys()) {
      if (!engines.has(engine)) this.#engines.delete(engine)
    }
  }

  /**
   * Applies events in order; repeats are skipped, a gap forgets the engine.
   *
   * @param engine - endpoint name
   * @param events - events in the order received
   * @returns whether a full listing is needed now
   */
  apply (engine: string, events: readonly CacheEvent[]): EventOutcome {
    const residency = this.#engines.get(engine)
    if (residency === undefined) return 'gap'
    for (const event of events) {
      if (event.sequence < residency.nextSequence) continue
      if (event.sequence > residency.nextSequence) {
        this.#engines.delete(engine)
        return 'gap'
      }
      residency.nextSequence += 1
      for (const key of event.keys) {
        if (event.kind === 'stored') residency.keys.add(key)
        else residency.keys.delete(key)
      }
    }
    return 'applied'
  }

  /**
   * Counts how many leading blocks of a chain each engine holds.
   *
   * @param keys - key chain of a prompt
   * @returns leading block counts above zero, by engine
   */
  leadingBlocks (keys: readonly string[]): Map<string, number> {
    const counts = new Map<string, number>()
    for (const [engine, residency] of this.#engines) {
      let count = 0
      while (count < keys.length && residency.keys.has(keys[count] ?? '')) count += 1
      if (count > 0) counts.set(engine, count)
    }
    return counts
  }
}
