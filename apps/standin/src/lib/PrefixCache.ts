/** Bounded prefix cache of the stand-in engine, with a numbered log of what entered and left. */

/** One change of the cache. */
export interface LoggedCacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'removed'
  readonly keys: readonly string[]
  readonly at: number
}

/** Changes kept for readers; older ones are a gap. */
const MAX_EVENTS = 2000

/** Least recently used blocks leave first. */
export class PrefixCache {
  readonly #blocks = new Map<string, number>()
  #events: LoggedCacheEvent[] = []
  #nextSequence = 1
  #residenceMs = 0

  /** @param capacityBlocks - most blocks held */
  constructor (private readonly capacityBlocks: number) {}

  get nextSequence (): number { return this.#nextSequence }
  /** Mean time lately evicted blocks had been held since their last use, in milliseconds; 0 before the first eviction. */
  get residenceMs (): number { return this.#residenceMs }

  /**
   * @param keys - chain of a prompt
   * @returns how many leading blocks are held
   */
  leadingBlockCount (keys: readonly string[]): number {
    let count = 0
    while (count < keys.length && this.#blocks.has(keys[count] ?? '')) count += 1
    return count
  }

  /**
   * @param keys - any keys
   * @returns whether all are held
   */
  holds (keys: readonly string[]): boolean {
    return keys.every(key => this.#blocks.has(key))
  }

  /**
   * Adds blocks or marks them as used.
   *
   * @param keys - blocks in chain order
   * @param now - monotonic milliseconds
   */
  store (keys: readonly string[], now: number): void {
    const fresh = keys.filter(key => !this.#blocks.has(key))
    // Later blocks of a chain are useless without earlier ones, so earlier ones count as used last.
    for (const key of [...keys].reverse()) {
      this.#blocks.delete(key)
      this.#blocks.set(key, now)
    }
    if (fresh.length > 0) this.#recordEvent('stored', fresh, now)
    const removed: string[] = []
    for (const [key, usedAt] of this.#blocks) {
      if (this.#blocks.size <= this.capacityBlocks) break
      this.#blocks.delete(key)
      removed.push(key)
      this.#residenceMs += (now - usedAt - this.#residenceMs) * 0.05
    }
    if (removed.length > 0) this.#recordEvent('removed', removed, now)
  }

  /** @returns all keys held */
  keys (): string[] {
    return [...this.#blocks.keys()]
  }

  /**
   * @param from - first sequence number wanted
   * @param visibleBefore - events after this time are not published yet
   * @returns the events, or undefined if some are gone
   */
  eventsFrom (from: number, visibleBefore: number): LoggedCacheEvent[] | undefined {
    const oldest = this.#events[0]?.sequence ?? this.#nextSequence
    if (from < oldest || from > this.#nextSequence) return undefined
    return this.#events.filter(event => event.sequence >= from && event.at <= visibleBefore)
  }

  #recordEvent (kind: 'stored' | 'removed', keys: readonly string[], at: number): void {
    this.#events.push({ sequence: this.#nextSequence, kind, keys, at })
    this.#nextSequence += 1
    if (this.#events.length > MAX_EVENTS) this.#events = this.#events.slice(-MAX_EVENTS / 2)
  }
}
