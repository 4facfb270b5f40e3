/**
 * Index of the blocks that engines report in their prefix caches.
 *
 * Cache events arrive late and may be missing, so the index is only a hint: a wrong
 * entry costs time but never affects correctness. After a gap, the index removes
 * the engine and requires a full listing.
 */

/** One change of an engine's cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'removed'
  readonly keys: readonly string[]
}

/** Result of applying a batch of events. */
export type EventOutcome = 'applied' | 'gap'

interface EngineResidency {
  nextSequence: number
  keys: Set<string>
}

/** The block keys that each engine is known to hold. */
export class ResidencyIndex {
  readonly #engines = new Map<string, EngineResidency>()

  /** Number of known keys, summed over all engines. */
  get size (): number {
    let total = 0
    for (const { keys } of this.#engines.values()) total += keys.size
    return total
  }

  /**
   * @param engine - endpoint name
   * @returns sequence number of the next event to apply, or undefined if a full listing is needed
   */
  nextSequence (engine: string): number | undefined {
    return this.#engines.get(engine)?.nextSequence
  }

  /**
   * Replaces an engine's keys with a full listing.
   *
   * @param engine - endpoint name
   * @param keys - all keys that the engine holds
   * @param nextSequence - sequence number of the first event that the listing does not include
   */
  reset (engine: string, keys: Iterable<string>, nextSequence: number): void {
    this.#engines.set(engine, { nextSequence, keys: new Set(keys) })
  }

  /** @param engine - endpoint that was removed or restarted */
  forget (engine: string): void {
    this.#engines.delete(engine)
  }

  /** @param engines - endpoints that are still configured; all others are removed */
  retain (engines: ReadonlySet<string>): void {
    for (const engine of this.#engines.keys()) {
      if (!engines.has(engine)) this.#engines.delete(engine)
    }
  }

  /**
   * Applies events in order. Events that were already applied are skipped; a gap removes the engine.
   *
   * @param engine - endpoint name
   * @param events - events in the order received
   * @returns `gap` if a full listing is needed
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
   * @returns number of leading blocks by engine; engines that hold none are left out
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
